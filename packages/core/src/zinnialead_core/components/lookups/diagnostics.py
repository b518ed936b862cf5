"""Describe the look-ups tables for the state dump."""

import typing

from zinnialead_core import world as world_module


class LookUpsDump(typing.TypedDict):
    """Count address blocks, the ranges they form, and cached orders."""

    blocks: int
    runs: int
    orders: int


def dump(world: world_module.World) -> LookUpsDump:
    """Return the look-ups' part of the state dump."""
    table = world.lookups
    built = table.blocks[0]
    runs = len(built.ipv4_starts) + len(built.ipv6_starts)
    return LookUpsDump(
        blocks=len(table.block_rows[0]), runs=runs, orders=len(table.orders)
    )
