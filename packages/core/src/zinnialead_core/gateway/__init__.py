"""Decide for an entry of a platform with a registry of upstreams.

The tables and systems of this package take the place of tickets and slot
owners where upstreams register themselves and the configuration comes as
one versioned document.  Like the rest of the core they know no I/O, codec
or clock.
"""

from zinnialead_core.gateway.tick import next_due_ms
from zinnialead_core.gateway.tick import tick
from zinnialead_core.gateway.world import new_world
from zinnialead_core.gateway.world import NodeRow
from zinnialead_core.gateway.world import World

__all__ = ['NodeRow', 'World', 'new_world', 'next_due_ms', 'tick']
