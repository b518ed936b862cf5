"""Handle asks, returned slots and expiries as the slot owner."""

from collections import abc
import dataclasses
import math

from zinnialead_core.components.slots import admission
from zinnialead_core.components.slots import availability
from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import granting
from zinnialead_core.components.slots import leases
from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import models
from zinnialead_core.components.slots import ownership
from zinnialead_core.components.slots import rank_queues
from zinnialead_core.components.slots import refusals
from zinnialead_core.components.slots import scheduling
from zinnialead_core.components.steering import caps
from zinnialead_core.components.steering import redirects
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def enqueue(
    world: world_module.World, now_ms: float, ask: messages.SlotAsk
) -> abc.Iterator[out.Output]:
    """Grant, queue, forward or refuse an ask."""
    if ask.ask_id in world.queues.queued or ask.ask_id in world.queues.grants:
        yield from _answer_duplicate(world, now_ms, ask.ask_id)
        return
    if world.states['in-force'].number == 0:
        # The asker repeats the ask; by then a peer will have sent a state.
        world.counters['slots.not_ready'] += 1
        return
    if ask.service not in world.states['in-force'].services:
        world.counters['slots.service_unknown'] += 1
        row = _queued_row(world, now_ms, ask)
        yield from granting.refuse(
            world, row, refusals.no_upstream(world, ask.service)
        )
        return
    if not ask.forwarded and not ownership.is_owner(
        world, now_ms, ask.service
    ):
        world.counters['slots.forwarded'] += 1
        forwarded_ask = dataclasses.replace(ask, forwarded=True)
        yield from ownership.forward(world, now_ms, ask.service, forwarded_ask)
        return
    if ask.forwarded:
        ownership.take_over(world, now_ms, ask.service)
    row = _queued_row(world, now_ms, ask)
    for domain in ask.tried:
        redirects.pause_domain(world, now_ms, ask.service, domain)
    if row.from_domain != world.node.domain and not row.homeless:
        yield from _admit_from_other_domain(world, now_ms, row)
    else:
        yield from _admit(world, now_ms, row)


def release(
    world: world_module.World, now_ms: float, slot_return: messages.SlotReturn
) -> abc.Iterator[out.Output]:
    """Free a slot and record its use, or remove a queued ask."""
    grant = world.queues.grants.get(slot_return.ask_id)
    was_ejected = _is_ejected(world, grant)
    ended_grant = leases.end(world, now_ms, slot_return)
    is_ejected = _is_ejected(world, grant)
    if grant is not None and was_ejected != is_ejected:
        yield _log_ejection(grant.upstream, was_ejected, is_ejected)
    queued = rank_queues.remove(world, slot_return.ask_id)
    if ended_grant is None and queued is None:
        return
    timers.stop(world.timers, timers.QueueExpiry(slot_return.ask_id))
    removed = ended_grant or queued
    if removed is None:
        return
    if slot_return.answer_bytes > 0:
        caps.record_answer_size(
            world, removed.service, slot_return.answer_bytes
        )
    if not ownership.is_owner(world, now_ms, removed.service):
        yield from ownership.forward(
            world, now_ms, removed.service, slot_return
        )
    yield from granting.grant(world, now_ms, removed.service)


def expire(
    world: world_module.World, now_ms: float, ask_id: ids.AskId
) -> abc.Iterator[out.Output]:
    """Refuse an ask that waited too long, or free an expired lease."""
    grant = world.queues.grants.get(ask_id)
    if grant is not None:
        world.counters['slots.lease_lapsed'] += 1
        leases.end(world, now_ms, messages.SlotReturn(ask_id, None))
        yield from granting.grant(world, now_ms, grant.service)
        return
    row = rank_queues.remove(world, ask_id)
    if row is not None:
        world.counters['slots.waited_in_vain'] += 1
        left_ms = row.deadline_ms - now_ms
        needed_ms = admission.service_time_ms(world, row.service)
        yield from granting.refuse(
            world, row, admission.deadline_refusal(left_ms, needed_ms)
        )


def _admit(
    world: world_module.World, now_ms: float, row: models.QueuedRow
) -> abc.Iterator[out.Output]:
    if not row.tried:
        scheduling.record_arrival(world, now_ms, row.service, row.rank)
    wait_ms = _wait_ms(world, now_ms, row)
    left_ms = row.deadline_ms - now_ms
    redirect = None
    if row.from_domain == world.node.domain:
        redirect = redirects.choose(
            world, now_ms, row.service, wait_ms, left_ms, row.tried
        )
    if redirect is not None:
        refusal = refusals.no_headroom(world, row)
        if math.isinf(wait_ms):
            refusal = refusals.no_upstream(world, row.service)
        yield from granting.refuse(world, row, refusal, redirect)
        return
    admission_refusal = _admission_refusal(world, now_ms, row, wait_ms)
    if admission_refusal is not None:
        yield from granting.refuse(world, row, admission_refusal)
        return
    yield from _append(world, now_ms, row)


def _wait_ms(
    world: world_module.World, now_ms: float, row: models.QueuedRow
) -> float:
    if not availability.has_upstream(world, row.service):
        return math.inf
    nothing_queued = not rank_queues.by_rank(world, row.service)
    if (
        nothing_queued
        and availability.select_upstream(world, now_ms, row.service, None)
        is not None
    ):
        return 0.0
    return admission.expected_wait_ms(world, now_ms, row.service, row.rank)


def _admission_refusal(
    world: world_module.World,
    now_ms: float,
    row: models.QueuedRow,
    wait_ms: float,
) -> verdict.Refusal | None:
    if not availability.has_upstream(world, row.service):
        return refusals.no_upstream(world, row.service)
    left_ms = row.deadline_ms - now_ms
    needed_ms = admission.min_time_ms(world, row.service)
    if wait_ms > 0.0:
        needed_ms = wait_ms + admission.reserve_ms(world, row.service, left_ms)
    if left_ms <= needed_ms:
        return admission.deadline_refusal(left_ms, needed_ms)
    return _cap_refusal(world, now_ms, row)


def _cap_refusal(
    world: world_module.World, now_ms: float, row: models.QueuedRow
) -> verdict.Refusal | None:
    shift = caps.Shift(
        row.ask_id, row.service, row.rank, row.home_region, row.body_bytes
    )
    return caps.admit(world, now_ms, shift)


def _append(
    world: world_module.World, now_ms: float, row: models.QueuedRow
) -> abc.Iterator[out.Output]:
    service = world.states['in-force'].services.get(row.service)
    queue_max = service.queue_max if service else const.QUEUE_MAX
    dropped_id = admission.ask_to_drop(world, row, queue_max)
    if dropped_id is not None:
        dropped = rank_queues.remove(world, dropped_id) or row
        timers.stop(world.timers, timers.QueueExpiry(dropped_id))
        yield from granting.refuse(
            world, dropped, refusals.queue_full(world, dropped)
        )
    if dropped_id == row.ask_id:
        caps.remove_waiting(world, row.service, row.home_region, row.ask_id)
        return
    rank_queues.append(world, row)
    yield from granting.grant(world, now_ms, row.service)
    if row.ask_id in world.queues.queued:
        left_ms = row.deadline_ms - now_ms
        reserve_ms = admission.reserve_ms(world, row.service, left_ms)
        expiry_ms = row.deadline_ms - reserve_ms
        timer = timers.QueueExpiry(row.ask_id)
        timers.start(world.timers, timer, max(now_ms, expiry_ms))


def _admit_from_other_domain(
    world: world_module.World, now_ms: float, row: models.QueuedRow
) -> abc.Iterator[out.Output]:
    upstream = None
    paused = now_ms < ownership.grants_paused_until_ms(world, row.service)
    if not paused and not rank_queues.by_rank(world, row.service):
        upstream = availability.select_upstream(
            world, now_ms, row.service, row.avoid
        )
    if upstream is None:
        yield from granting.refuse(
            world, row, refusals.no_headroom(world, row)
        )
        return
    refusal = _cap_refusal(world, now_ms, row)
    if refusal is not None:
        yield from granting.refuse(world, row, refusal)
        return
    caps.record_sent(world, now_ms, row.service, row.home_region, row.ask_id)
    yield from leases.start(world, now_ms, row, upstream)


def _answer_duplicate(
    world: world_module.World, now_ms: float, ask_id: ids.AskId
) -> abc.Iterator[out.Output]:
    grant = world.queues.grants.get(ask_id)
    answer: messages.SlotAnswer | messages.SlotWaiting
    if grant is not None:
        answer = leases.answer_for(world, now_ms, grant)
    else:
        answer = messages.SlotWaiting(ask_id)
    yield out.SendPeer(ask_id.asker.entry, answer)


def _is_ejected(
    world: world_module.World, grant: models.GrantRow | None
) -> bool:
    row = world.upstreams.get(grant.upstream) if grant else None
    return row is not None and row.on_trial


def _log_ejection(
    upstream: ids.UpstreamId, was_ejected: bool, is_ejected: bool
) -> out.LogChange:
    states = {True: 'left out', False: 'in service'}
    return out.LogChange(
        'upstreams', str(upstream), states[was_ejected], states[is_ejected]
    )


def _queued_row(
    world: world_module.World, now_ms: float, ask: messages.SlotAsk
) -> models.QueuedRow:
    return models.QueuedRow(
        ask.ask_id,
        ask.service,
        ask.rank,
        now_ms,
        now_ms + ask.deadline_in_ms,
        ask.from_domain,
        ask.avoid,
        ask.home_region or world.node.region,
        ask.body_bytes,
        ask.tried,
        ask.homeless,
    )
