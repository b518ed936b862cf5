"""Grant free slots to waiting asks, and refuse asks."""

from collections import abc

from zinnialead_core.components.slots import admission
from zinnialead_core.components.slots import availability
from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import leases
from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import models
from zinnialead_core.components.slots import ownership
from zinnialead_core.components.slots import rank_queues
from zinnialead_core.components.slots import refusals
from zinnialead_core.components.slots import scheduling
from zinnialead_core.components.steering import caps
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def grant_all(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Grant free slots of every service with waiting asks."""
    for service in list(world.queues.rank_queues):
        yield from grant(world, now_ms, service)


def grant(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> abc.Iterator[out.Output]:
    """Grant free slots of a service to its asks in scheduling order."""
    paused_until_ms = ownership.grants_paused_until_ms(world, service)
    if now_ms < paused_until_ms:
        _schedule_recheck(world, service, paused_until_ms)
        return
    yield from _refuse_in_pause(world, now_ms, service)
    has_upstream = availability.has_upstream(world, service)
    while (ask_id := scheduling.next_ask(world, service)) is not None:
        row = world.queues.queued[ask_id]
        if not has_upstream:
            _dequeue(world, row)
            yield from refuse(world, row, refusals.no_upstream(world, service))
            continue
        upstream = availability.select_upstream(
            world, now_ms, service, row.avoid
        )
        if upstream is None:
            _schedule_recheck(world, service, now_ms + const.RECHECK_PERIOD_MS)
            return
        yield from _grant_one(world, now_ms, row, upstream)


def _grant_one(
    world: world_module.World,
    now_ms: float,
    row: models.QueuedRow,
    upstream: ids.UpstreamId,
) -> abc.Iterator[out.Output]:
    scheduling.record_grant(world, row.service, row.rank)
    caps.record_sent(world, now_ms, row.service, row.home_region, row.ask_id)
    _dequeue(world, row)
    yield from leases.start(world, now_ms, row, upstream)


def refuse(
    world: world_module.World,
    row: models.QueuedRow,
    refusal: verdict.Refusal,
    redirect: ids.DomainId | None = None,
) -> abc.Iterator[out.Output]:
    """Refuse an ask; ``redirect`` is a domain that may serve it."""
    world.counters[f'slots.refused.{refusal.reason.value}'] += 1
    answer = messages.SlotAnswer(row.ask_id, None, refusal, redirect)
    yield out.SendPeer(row.ask_id.asker.entry, answer)


def _refuse_in_pause(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> abc.Iterator[out.Output]:
    """Refuse the asks that can't wait until an upstream's pause is over."""
    pause_ms = availability.pause_left_ms(world, now_ms, service)
    if pause_ms == 0.0:
        return
    needed_ms = pause_ms + admission.min_time_ms(world, service)
    for rank_queue in list(rank_queues.by_rank(world, service).values()):
        for ask_id in list(rank_queue):
            row = world.queues.queued[ask_id]
            left_ms = row.deadline_ms - now_ms
            if left_ms <= needed_ms:
                _dequeue(world, row)
                refusal = admission.deadline_refusal(left_ms, needed_ms)
                yield from refuse(world, row, refusal)


def _dequeue(world: world_module.World, row: models.QueuedRow) -> None:
    rank_queues.remove(world, row.ask_id)
    timers.stop(world.timers, timers.QueueExpiry(row.ask_id))


def _schedule_recheck(
    world: world_module.World, service: ids.ServiceId, due_ms: float
) -> None:
    if rank_queues.by_rank(world, service):
        timers.start(world.timers, timers.SlotsDue(service), due_ms)
