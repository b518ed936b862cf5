"""Call the platform's store over HTTP."""

from zinnialead_daemon.components.store.coordinator import call
from zinnialead_daemon.components.store.coordinator import set_up
from zinnialead_daemon.components.store.coordinator import unload
from zinnialead_daemon.components.store.models import Client

__all__ = ['Client', 'call', 'set_up', 'unload']
