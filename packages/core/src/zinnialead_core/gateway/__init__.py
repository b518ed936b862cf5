"""Make the decisions of an entry on a platform with a registry of upstreams.

These tables and systems replace tickets and slot owners on platforms where
upstreams register themselves and the configuration is a single versioned
document.  Like the rest of the core they do no I/O, contain no codec and
read no clock.
"""

from zinnialead_core.gateway.tick import next_due_ms
from zinnialead_core.gateway.tick import tick
from zinnialead_core.gateway.world import new_world
from zinnialead_core.gateway.world import NodeRow
from zinnialead_core.gateway.world import World

__all__ = ['NodeRow', 'World', 'new_world', 'next_due_ms', 'tick']
