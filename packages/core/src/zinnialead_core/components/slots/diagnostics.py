"""Describe queues and slots for a dump."""

import typing

from zinnialead_core import world as world_module


class SlotsDump(typing.TypedDict):
    """Show the asks in hand and the slots in use by upstream."""

    asks: int
    queued: int
    in_use: dict[str, int]


def dump(world: world_module.World) -> SlotsDump:
    """Return the slots' part of the state dump."""
    return SlotsDump(
        asks=len(world.asks),
        queued=len(world.queues.queued),
        in_use={str(k): v for k, v in world.queues.in_use.items()},
    )
