"""Refuse at the door what can't meet its deadline or finds no place."""

import math

from zinnialead_core.components.slots import choice
from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import floors
from zinnialead_core.components.slots import lines
from zinnialead_core.components.slots import models
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def service_time_ms(
    world: world_module.World, service: ids.ServiceId
) -> float:
    """Return how long a slot is held: as measured, or as declared."""
    row = world.queues.service_loads.get(service)
    if row is not None and row.service_time_ms is not None:
        return row.service_time_ms
    declared = world.states['in-force'].services.get(service)
    return declared.service_time_ms if declared else 0.0


def reserve_ms(
    world: world_module.World, service: ids.ServiceId, left_ms: float
) -> float:
    """Return how much of the time left must remain after the wait.

    It is the time in which nearly all work at a slot ends: in a flood
    all work waits as long as it may, and what then ends too late keeps
    slots busy for nobody.  Where little time is left, half of what
    exceeds the mean may still be spent on waiting.
    """
    row = world.queues.service_loads.get(service)
    deviation_ms = row.deviation_ms if row else 0.0
    mean_ms = service_time_ms(world, service)
    margin_ms = deviation_ms * const.SERVICE_TIME_DEVIATIONS
    spare_ms = max(0.0, left_ms - mean_ms)
    return mean_ms + min(margin_ms, spare_ms * const.SPARE_SHARE)


def useful_ms(world: world_module.World, service: ids.ServiceId) -> float:
    """Return the least time in which work at a free slot can end.

    A slow spell must not refuse all work: with none served, its end
    would never be measured. So the declared time bounds the measured.
    """
    row = world.queues.service_loads.get(service)
    declared = world.states['in-force'].services.get(service)
    if row is None or row.service_time_ms is None or declared is None:
        return 0.0
    return min(row.service_time_ms, declared.service_time_ms)


def measured(
    world: world_module.World, service: ids.ServiceId, elapsed_ms: float
) -> None:
    """Take one attempt's time into the measured service time."""
    loads = world.queues.service_loads
    row = loads.get(service) or models.ServiceLoadRow(service)
    mean_ms = service_time_ms(world, service)
    error_ms = elapsed_ms - mean_ms
    spread_ms = abs(error_ms) - row.deviation_ms
    loads[service] = row._replace(
        service_time_ms=mean_ms + error_ms * const.SERVICE_TIME_WEIGHT,
        deviation_ms=row.deviation_ms + spread_ms * const.SERVICE_TIME_WEIGHT,
    )


def expected_wait_ms(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    rank: ids.RankId,
) -> float:
    """Return how long a new ask of a rank would wait for a slot.

    It waits for the work of its own and of more urgent ranks, at the
    speed that their arrivals and the floors of the others leave, or for
    its own rank's line at the speed of its floor, if that is sooner.
    """
    slots = choice.usable_slots(world, now_ms, service)
    slots = slots or choice.all_slots(world, service)
    if slots == 0:
        return math.inf
    each_ms = service_time_ms(world, service) / slots
    own = len(lines.waiting(world, service).get(rank, {})) + 1
    ahead = _more_urgent(world, service, rank)
    left = _share_left(world, now_ms, service, rank, each_ms)
    wait_ms = (own + ahead) * each_ms / left
    floor = lines.floor_share(world, rank)
    if floor > 0.0:
        return min(wait_ms, own * each_ms / floor)
    return wait_ms


def victim(
    world: world_module.World, row: models.QueuedRow, queue_max: int
) -> ids.AskId | None:
    """Return the ask that must go so that ``row`` fits the queue.

    It is the newest of the least urgent rank that has more places than
    its floor keeps for it; ``row`` itself where that is its own rank.
    """
    if lines.length(world, row.service) < queue_max:
        return None
    waiting = lines.waiting(world, row.service)
    lengths = {rank: len(line) for rank, line in waiting.items()}
    lengths[row.rank] = lengths.get(row.rank, 0) + 1
    least_first = sorted(
        lengths, key=lambda rank: lines.order(world, rank), reverse=True
    )
    for rank in least_first:
        kept = math.ceil(lines.floor_share(world, rank) * queue_max)
        if lengths[rank] <= kept:
            continue
        if rank == row.rank:
            return row.ask_id
        return lines.newest(waiting[rank])
    return row.ask_id


def too_short(left_ms: float, needed_ms: float) -> verdict.Refusal:
    """Return the refusal of an ask whose deadline can't be met."""
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.DEADLINE_TOO_SHORT,
        f'{left_ms:.0f} ms are left and about {needed_ms:.0f} ms needed',
        retry_after_ms=max(1.0, needed_ms),
    )


def _more_urgent(
    world: world_module.World, service: ids.ServiceId, rank: ids.RankId
) -> int:
    place = lines.order(world, rank)
    return sum(
        len(line)
        for other, line in lines.waiting(world, service).items()
        if lines.order(world, other) < place
    )


def _share_left(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    rank: ids.RankId,
    each_ms: float,
) -> float:
    """Return the share of grants that floors and urgent work leave."""
    place = lines.order(world, rank)
    left = 1.0
    for other in lines.waiting(world, service):
        if lines.order(world, other) > place:
            left -= lines.floor_share(world, other)
    for row in world.states['in-force'].ranks.values():
        if row.order < place:
            rate = floors.arrivals_per_ms(world, now_ms, service, row.rank)
            left -= rate * each_ms
    return max(left, const.SHARE_MIN)
