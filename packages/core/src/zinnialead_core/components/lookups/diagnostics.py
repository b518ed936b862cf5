"""Describe the look-ups for a dump."""

import typing

from zinnialead_core import world as world_module


class LookUpsDump(typing.TypedDict):
    """Show how many blocks of clients look-ups go by."""

    blocks: int


def dump(world: world_module.World) -> LookUpsDump:
    """Return the look-ups' part of the state dump."""
    return LookUpsDump(blocks=len(world.states['in-force'].blocks))
