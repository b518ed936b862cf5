"""Describe the keys tables for the state dump."""

import collections
import typing

from zinnialead_core import world as world_module


class KeysDump(typing.TypedDict):
    """Count claims and registrations, without showing any key."""

    claims: int
    registrations: int
    by_state: dict[str, int]


def dump(world: world_module.World) -> KeysDump:
    """Return the keys' part of the state dump."""
    states = collections.Counter(
        type(row.state).__name__ for row in world.registrations.rows.values()
    )
    return KeysDump(
        claims=len(world.claims),
        registrations=len(world.registrations.rows),
        by_state=dict(states),
    )
