"""Exchange messages with other entries over TCP."""

from zinnialead_daemon.components.peers.coordinator import rotate_keys
from zinnialead_daemon.components.peers.coordinator import send
from zinnialead_daemon.components.peers.coordinator import set_up
from zinnialead_daemon.components.peers.coordinator import unload
from zinnialead_daemon.components.peers.models import Peers

__all__ = ['Peers', 'rotate_keys', 'send', 'set_up', 'unload']
