"""Describe the look-ups for a dump."""

import typing

from zinnialead_core import world as world_module


class LookUpsDump(typing.TypedDict):
    """Show how many blocks and kept orders look-ups go by."""

    blocks: int
    runs: int
    orders: int


def dump(world: world_module.World) -> LookUpsDump:
    """Return the look-ups' part of the state dump."""
    table = world.lookups
    built = table.blocks[0]
    runs = len(built.ipv4_starts) + len(built.ipv6_starts)
    return LookUpsDump(
        blocks=len(table.sources[0]), runs=runs, orders=len(table.orders)
    )
