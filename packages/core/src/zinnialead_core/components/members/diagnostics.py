"""Describe the members table for the state dump."""

import typing

from zinnialead_core import world as world_module


class MemberDump(typing.TypedDict):
    """Show the known state of one entry."""

    incarnation: int
    domain: str
    health: str
    state_number: int


MembersDump = dict[str, MemberDump]


def dump(world: world_module.World) -> MembersDump:
    """Return the members' part of the state dump."""
    return {
        str(row.entry): MemberDump(
            incarnation=row.incarnation,
            domain=row.domain,
            health=row.health.value,
            state_number=row.state_number,
        )
        for row in world.members.values()
    }
