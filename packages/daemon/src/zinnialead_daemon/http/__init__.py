"""Serve ASGI applications over HTTP."""

from zinnialead_daemon.http.asgi import AsgiApp
from zinnialead_daemon.http.asgi import discard
from zinnialead_daemon.http.asgi import Headers
from zinnialead_daemon.http.asgi import read_body
from zinnialead_daemon.http.asgi import Receive
from zinnialead_daemon.http.asgi import respond
from zinnialead_daemon.http.asgi import Scope
from zinnialead_daemon.http.asgi import Send
from zinnialead_daemon.http.asgi import start_response
from zinnialead_daemon.http.problems import Problem
from zinnialead_daemon.http.problems import send_problem
from zinnialead_daemon.http.server import Binding
from zinnialead_daemon.http.server import serve
from zinnialead_daemon.http.streams import Backend
from zinnialead_daemon.http.streams import body_parts
from zinnialead_daemon.http.streams import describe
from zinnialead_daemon.http.streams import EndlessError
from zinnialead_daemon.http.streams import is_faulty

__all__ = [
    'AsgiApp',
    'Backend',
    'Binding',
    'EndlessError',
    'Headers',
    'Problem',
    'Receive',
    'Scope',
    'Send',
    'body_parts',
    'describe',
    'discard',
    'is_faulty',
    'read_body',
    'respond',
    'send_problem',
    'serve',
    'start_response',
]
