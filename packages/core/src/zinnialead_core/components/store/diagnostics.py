"""Describe the store client for a dump."""

import typing

from zinnialead_core import world as world_module


class StoreDump(typing.TypedDict):
    """Show the number of open calls and of failures in a row."""

    open_calls: int
    failures: int


def dump(world: world_module.World) -> StoreDump:
    """Return the store's part of the state dump."""
    return StoreDump(
        open_calls=len(world.store.open_calls),
        failures=world.store.failures[0],
    )
