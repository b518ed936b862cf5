"""Refuse asks that cannot meet their deadline or do not fit the queue."""

import math

from zinnialead_core import averages
from zinnialead_core.components.slots import availability
from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import models
from zinnialead_core.components.slots import rank_queues
from zinnialead_core.components.slots import scheduling
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def service_time_ms(
    world: world_module.World, service: ids.ServiceId
) -> float:
    """Return the mean time a slot is in use: measured, else configured."""
    row = world.queues.service_loads.get(service)
    if row is not None and row.service_time_ms is not None:
        return row.service_time_ms
    declared = world.states['in-force'].services.get(service)
    return declared.service_time_ms if declared else 0.0


def reserve_ms(
    world: world_module.World, service: ids.ServiceId, left_ms: float
) -> float:
    """Return how much of the time left to keep for work at the slot.

    Nearly all work ends within this time.  In an overload every ask
    waits as long as it is allowed to, and work that then ends after its
    deadline occupies slots for no benefit.  If little time is left, half
    of what exceeds the mean service time may still be spent waiting.
    """
    row = world.queues.service_loads.get(service)
    deviation_ms = row.deviation_ms if row else 0.0
    mean_ms = service_time_ms(world, service)
    margin_ms = deviation_ms * const.SERVICE_TIME_DEVIATIONS
    spare_ms = max(0.0, left_ms - mean_ms)
    return mean_ms + min(margin_ms, spare_ms * const.RESERVED_SPARE_SHARE)


def min_time_ms(world: world_module.World, service: ids.ServiceId) -> float:
    """Return the least time that work needs at a free slot.

    The configured service time bounds the measured one.  Otherwise a
    slow period could cause all work to be refused, and with none served
    the recovery would never be measured.
    """
    row = world.queues.service_loads.get(service)
    declared = world.states['in-force'].services.get(service)
    if row is None or row.service_time_ms is None or declared is None:
        return 0.0
    return min(row.service_time_ms, declared.service_time_ms)


def record_service_time(
    world: world_module.World, service: ids.ServiceId, elapsed_ms: float
) -> None:
    """Add an attempt's duration to the moving averages of a service."""
    loads = world.queues.service_loads
    row = loads.get(service) or models.ServiceLoadRow(service)
    average_ms = averages.add(
        averages.AverageRow(service_time_ms(world, service), row.deviation_ms),
        elapsed_ms,
        const.SERVICE_TIME_WEIGHT,
    )
    loads[service] = row._replace(
        service_time_ms=average_ms.mean, deviation_ms=average_ms.deviation
    )


def expected_wait_ms(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    rank: ids.RankId,
) -> float:
    """Estimate how long a new ask of a rank would wait for a slot.

    The ask waits behind the queues of its own and of more urgent ranks,
    at the rate that new arrivals of more urgent ranks and the floors of
    less urgent ranks leave; or, if that is sooner, behind its own rank's
    queue only, at the rate of its floor.  All wait while every upstream
    pauses.
    """
    slots = availability.usable_slots(world, now_ms, service)
    slots = slots or availability.configured_slots(world, service)
    if slots == 0:
        return math.inf
    pause_ms = availability.pause_left_ms(world, now_ms, service)
    grant_interval_ms = service_time_ms(world, service) / slots
    own_asks = len(rank_queues.by_rank(world, service).get(rank, {})) + 1
    asks_ahead = _count_more_urgent(world, service, rank)
    available_share = _available_share(
        world, now_ms, service, rank, grant_interval_ms
    )
    wait_ms = (own_asks + asks_ahead) * grant_interval_ms / available_share
    floor = rank_queues.floor_share(world, rank)
    if floor > 0.0:
        wait_ms = min(wait_ms, own_asks * grant_interval_ms / floor)
    return pause_ms + wait_ms


def ask_to_drop(
    world: world_module.World, row: models.QueuedRow, queue_max: int
) -> ids.AskId | None:
    """Return the ask to drop so that ``row`` fits, None if there is space.

    It is the newest ask of the least urgent rank that holds more places
    than its floor reserves, or ``row`` itself if that is its own rank.
    """
    if rank_queues.length(world, row.service) < queue_max:
        return None
    waiting = rank_queues.by_rank(world, row.service)
    lengths = {rank: len(rank_queue) for rank, rank_queue in waiting.items()}
    lengths[row.rank] = lengths.get(row.rank, 0) + 1
    least_first = sorted(
        lengths,
        key=lambda rank: rank_queues.rank_order(world, rank),
        reverse=True,
    )
    for rank in least_first:
        floor_places = math.ceil(
            rank_queues.floor_share(world, rank) * queue_max
        )
        if lengths[rank] <= floor_places:
            continue
        if rank == row.rank:
            return row.ask_id
        return rank_queues.last(waiting[rank])
    return row.ask_id


def deadline_refusal(left_ms: float, needed_ms: float) -> verdict.Refusal:
    """Return the refusal of an ask whose deadline cannot be met."""
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.DEADLINE_TOO_SHORT,
        f'{left_ms:.0f} ms are left and about {needed_ms:.0f} ms needed',
        retry_after_ms=max(1.0, needed_ms),
    )


def _count_more_urgent(
    world: world_module.World, service: ids.ServiceId, rank: ids.RankId
) -> int:
    rank_order = rank_queues.rank_order(world, rank)
    return sum(
        len(rank_queue)
        for other_rank, rank_queue in rank_queues.by_rank(
            world, service
        ).items()
        if rank_queues.rank_order(world, other_rank) < rank_order
    )


def _available_share(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    rank: ids.RankId,
    grant_interval_ms: float,
) -> float:
    """Return the share of grants left by floors and by more urgent work."""
    rank_order = rank_queues.rank_order(world, rank)
    available_share = 1.0
    for other_rank in rank_queues.by_rank(world, service):
        if rank_queues.rank_order(world, other_rank) > rank_order:
            available_share -= rank_queues.floor_share(world, other_rank)
    for row in world.states['in-force'].ranks.values():
        if row.order < rank_order:
            rate = scheduling.arrivals_per_ms(world, now_ms, service, row.rank)
            available_share -= rate * grant_interval_ms
    return max(available_share, const.AVAILABLE_SHARE_MIN)
