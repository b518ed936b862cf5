"""Describe the loads of other domains for the state dump."""

import typing

from zinnialead_core import world as world_module


class LoadDump(typing.TypedDict):
    """Show the load of one service in one domain."""

    slots: int
    in_use: int
    queued: int
    seen_ms: float


SteeringDump = dict[str, LoadDump]


def dump(world: world_module.World) -> SteeringDump:
    """Return the steering section of the state dump."""
    return {
        f'{row.service}/{row.domain}': LoadDump(
            slots=row.slots,
            in_use=row.in_use,
            queued=row.queued,
            seen_ms=row.seen_ms,
        )
        for row in world.loads.values()
    }
