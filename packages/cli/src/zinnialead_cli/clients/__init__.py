"""Call the platform's store and the operators' ports of entries."""

from zinnialead_cli.clients.entries import Entry
from zinnialead_cli.clients.entries import get
from zinnialead_cli.clients.entries import post
from zinnialead_cli.clients.entries import Unreachable
from zinnialead_cli.clients.store import call as call_store

__all__ = ['Entry', 'Unreachable', 'call_store', 'get', 'post']
