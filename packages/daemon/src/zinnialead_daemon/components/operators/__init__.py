"""Serve operators on a port of their own."""

from zinnialead_daemon.components.operators.coordinator import asgi_app
from zinnialead_daemon.components.operators.models import Operators

__all__ = ['Operators', 'asgi_app']
