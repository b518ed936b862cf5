"""Serve operators on a separate port."""

from zinnialead_daemon.components.operators.coordinator import asgi_app
from zinnialead_daemon.components.operators.coordinator import full_dump
from zinnialead_daemon.components.operators.models import FullDump
from zinnialead_daemon.components.operators.models import Operators

__all__ = ['FullDump', 'Operators', 'asgi_app', 'full_dump']
