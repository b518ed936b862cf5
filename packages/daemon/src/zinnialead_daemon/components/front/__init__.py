"""Serve callers over HTTP."""

from zinnialead_daemon.components.front.coordinator import answer
from zinnialead_daemon.components.front.coordinator import asgi_app
from zinnialead_daemon.components.front.coordinator import record_cut
from zinnialead_daemon.components.front.coordinator import stop
from zinnialead_daemon.components.front.models import Exchange
from zinnialead_daemon.components.front.models import Front
from zinnialead_daemon.components.front.models import new_front

__all__ = [
    'Exchange',
    'Front',
    'answer',
    'asgi_app',
    'new_front',
    'record_cut',
    'stop',
]
