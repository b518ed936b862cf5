"""Describe queues and slots for the state dump."""

import typing

from zinnialead_core.components.slots import admission
from zinnialead_core.components.slots import availability
from zinnialead_core import world as world_module


class ServiceSlotsDump(typing.TypedDict):
    """Show a service whose slots this entry owns or has owned."""

    owned: bool
    slots: int
    service_time_ms: float
    queued_by_rank: dict[str, int]


class SlotsDump(typing.TypedDict):
    """Show the open and queued asks and the slots in use by upstream."""

    asks: int
    queued: int
    granted: int
    in_use: dict[str, int]
    services: dict[str, ServiceSlotsDump]


def dump(world: world_module.World) -> SlotsDump:
    """Return the slots section of the state dump."""
    queues = world.queues
    return SlotsDump(
        asks=len(world.asks),
        queued=len(queues.queued),
        granted=len(queues.grants),
        in_use={str(k): v for k, v in queues.in_use.items()},
        services={
            str(row.service): ServiceSlotsDump(
                owned=row.owned_since_ms is not None,
                slots=availability.configured_slots(world, row.service),
                service_time_ms=admission.service_time_ms(world, row.service),
                queued_by_rank={
                    str(rank): len(rank_queue)
                    for rank, rank_queue in queues.rank_queues.get(
                        row.service, {}
                    ).items()
                },
            )
            for row in queues.service_loads.values()
        },
    )
