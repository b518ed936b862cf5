"""Own the queue in front of the upstreams of a service in a domain."""

from collections import abc

from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import models
from zinnialead_core.components.steering import targets
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def enqueue(
    world: world_module.World, now_ms: float, ask: messages.SlotAsk
) -> abc.Iterator[out.Output]:
    """Take an ask into its rank's line and grant what is free."""
    if ask.ask_id in world.queues.queued or ask.ask_id in world.queues.grants:
        return
    row = models.QueuedRow(
        ask.ask_id,
        ask.service,
        ask.rank,
        now_ms,
        now_ms + ask.deadline_in_ms,
        ask.from_domain,
    )
    world.queues.queued[ask.ask_id] = row
    line = world.queues.lines.setdefault((ask.service, ask.rank), {})
    line[ask.ask_id] = None
    expiry = timers.QueueExpiry(ask.ask_id)
    timers.start(world.timers, expiry, row.deadline_ms)
    yield from grant(world, now_ms, ask.service)


def take_back(
    world: world_module.World, now_ms: float, back: messages.SlotReturn
) -> abc.Iterator[out.Output]:
    """Free a slot, or drop an ask that still waits."""
    row = _leave_queue(world, back.ask_id)
    used = world.queues.grants.pop(back.ask_id, None)
    timers.stop(world.timers, timers.QueueExpiry(back.ask_id))
    if used is not None:
        world.queues.in_use[used.upstream] -= 1
    gone = used or row
    if gone is not None:
        yield from grant(world, now_ms, gone.service)


def expire(
    world: world_module.World, now_ms: float, ask_id: ids.AskId
) -> abc.Iterator[out.Output]:
    """Refuse an ask whose time is over, or free a slot never returned."""
    if ask_id in world.queues.grants:
        world.counters['slots.grant_expired'] += 1
        yield from take_back(world, now_ms, messages.SlotReturn(ask_id, None))
        return
    if _leave_queue(world, ask_id) is None:
        return
    refusal = verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.DEADLINE_PASSED,
        'no slot came free before the deadline',
    )
    yield out.SendPeer(
        ask_id.asker.entry, messages.SlotAnswer(ask_id, None, refusal)
    )


def grant_all(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Grant free slots of every service that has asks waiting."""
    for service in {service for service, _ in world.queues.lines}:
        yield from grant(world, now_ms, service)


def grant(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> abc.Iterator[out.Output]:
    """Grant free slots of a service to its asks, most urgent first."""
    for ask_id in list(_in_rank_order(world, service)):
        upstream = targets.free_upstream(world, service)
        if upstream is None:
            return
        row = _leave_queue(world, ask_id)
        if row is None:
            continue
        yield from _grant_one(world, now_ms, row, upstream)


def _grant_one(
    world: world_module.World,
    now_ms: float,
    row: models.QueuedRow,
    upstream: ids.UpstreamId,
) -> abc.Iterator[out.Output]:
    expires_ms = row.deadline_ms + const.GRANT_MARGIN_MS
    world.queues.grants[row.ask_id] = models.GrantRow(
        row.ask_id,
        row.service,
        row.rank,
        upstream,
        now_ms,
        expires_ms,
        row.from_domain,
    )
    used = world.queues.in_use.get(upstream, 0)
    world.queues.in_use[upstream] = used + 1
    expiry = timers.QueueExpiry(row.ask_id)
    timers.start(world.timers, expiry, expires_ms)
    answer = messages.SlotAnswer(row.ask_id, upstream)
    yield out.SendPeer(row.ask_id.asker.entry, answer)


def _in_rank_order(
    world: world_module.World, service: ids.ServiceId
) -> abc.Iterator[ids.AskId]:
    ranks = world.states['in-force'].ranks.values()
    for rank in sorted(ranks, key=lambda row: row.order):
        yield from world.queues.lines.get((service, rank.rank), {})


def _leave_queue(
    world: world_module.World, ask_id: ids.AskId
) -> models.QueuedRow | None:
    row = world.queues.queued.pop(ask_id, None)
    if row is not None:
        del world.queues.lines[row.service, row.rank][ask_id]
    return row
