"""Describe the keys tables for a dump."""

import collections
import typing

from zinnialead_core import world as world_module


class KeysDump(typing.TypedDict):
    """Count claims and registrations; keys themselves stay private."""

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
