"""Describe the store client for a dump."""

import typing

from zinnialead_core import world as world_module


class StoreDump(typing.TypedDict):
    """Show the open calls, the failures in a row and the store's era."""

    open_calls: int
    failures: int
    era: int


def dump(world: world_module.World) -> StoreDump:
    """Return the store's part of the state dump."""
    return StoreDump(
        open_calls=len(world.store.open_calls),
        failures=world.store.failures[0],
        era=world.store.era[0],
    )
