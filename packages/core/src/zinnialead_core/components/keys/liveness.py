"""Check holders and registrars against the members table."""

from zinnialead_core.components import members
from zinnialead_core import ids
from zinnialead_core import world as world_module


def is_lost(world: world_module.World, ref: ids.EntryRef) -> bool:
    """Return whether an entry's incarnation is dead or was replaced."""
    if ref.entry == world.node.ref.entry:
        return ref != world.node.ref
    member = world.members.get(ref.entry)
    if member is None:
        return False
    dead = member.health is members.Health.DEAD
    return dead or member.incarnation > ref.incarnation
