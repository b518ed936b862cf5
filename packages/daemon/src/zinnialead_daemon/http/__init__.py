"""Serve ASGI applications over HTTP."""

from zinnialead_daemon.http.asgi import AsgiApp
from zinnialead_daemon.http.asgi import Headers
from zinnialead_daemon.http.asgi import Receive
from zinnialead_daemon.http.asgi import respond
from zinnialead_daemon.http.asgi import Scope
from zinnialead_daemon.http.asgi import Send
from zinnialead_daemon.http.server import serve

__all__ = [
    'AsgiApp',
    'Headers',
    'Receive',
    'Scope',
    'Send',
    'respond',
    'serve',
]
