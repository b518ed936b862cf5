"""Own the queue in front of the upstreams of a service in a domain."""

from collections import abc
import dataclasses
import math

from zinnialead_core.components.slots import choice
from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import door
from zinnialead_core.components.slots import floors
from zinnialead_core.components.slots import granting
from zinnialead_core.components.slots import leases
from zinnialead_core.components.slots import lines
from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import models
from zinnialead_core.components.slots import ownership
from zinnialead_core.components.slots import refusals
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
    """Take an ask into its rank's line, or refuse it at the door."""
    if ask.ask_id in world.queues.queued or ask.ask_id in world.queues.grants:
        yield from _repeat(world, ask.ask_id)
        return
    if world.states['in-force'].number == 0:
        # The asker asks again; by then a peer has told what is in force.
        world.counters['slots.not_ready'] += 1
        return
    if ask.service not in world.states['in-force'].services:
        world.counters['slots.service_unknown'] += 1
        row = _row(world, now_ms, ask)
        yield from granting.refuse(
            world, row, refusals.no_upstream(world, ask.service)
        )
        return
    if not ask.forwarded and not ownership.is_owner(
        world, now_ms, ask.service
    ):
        world.counters['slots.forwarded'] += 1
        on = dataclasses.replace(ask, forwarded=True)
        yield from ownership.pass_on(world, now_ms, ask.service, on)
        return
    if ask.forwarded:
        ownership.take_over(world, now_ms, ask.service)
    row = _row(world, now_ms, ask)
    for domain in ask.tried:
        redirects.refused(world, now_ms, ask.service, domain)
    if row.from_domain != world.node.domain and not row.homeless:
        yield from _enter_foreign(world, now_ms, row)
    else:
        yield from _enter(world, now_ms, row)


def leave(
    world: world_module.World, now_ms: float, back: messages.SlotReturn
) -> abc.Iterator[out.Output]:
    """Free a slot and learn from its use, or drop an ask that waits."""
    held = world.queues.grants.get(back.ask_id)
    before = _is_left_out(world, held)
    grant_row = leases.end(world, now_ms, back)
    after = _is_left_out(world, held)
    if held is not None and before != after:
        yield _log_standing(held.upstream, before, after)
    queued = lines.leave(world, back.ask_id)
    if grant_row is None and queued is None:
        return
    timers.stop(world.timers, timers.QueueExpiry(back.ask_id))
    gone = grant_row or queued
    if gone is None:
        return
    if back.answer_bytes > 0:
        caps.learn_answer(world, gone.service, back.answer_bytes)
    if not ownership.is_owner(world, now_ms, gone.service):
        yield from ownership.pass_on(world, now_ms, gone.service, back)
    yield from granting.grant(world, now_ms, gone.service)


def expire(
    world: world_module.World, now_ms: float, ask_id: ids.AskId
) -> abc.Iterator[out.Output]:
    """Refuse an ask that waited too long, or free a lapsed slot."""
    held = world.queues.grants.get(ask_id)
    if held is not None:
        world.counters['slots.lease_lapsed'] += 1
        leases.end(world, now_ms, messages.SlotReturn(ask_id, None))
        yield from granting.grant(world, now_ms, held.service)
        return
    row = lines.leave(world, ask_id)
    if row is not None:
        world.counters['slots.waited_in_vain'] += 1
        left_ms = row.deadline_ms - now_ms
        needed_ms = door.service_time_ms(world, row.service)
        yield from granting.refuse(
            world, row, door.too_short(left_ms, needed_ms)
        )


def _enter(
    world: world_module.World, now_ms: float, row: models.QueuedRow
) -> abc.Iterator[out.Output]:
    if not row.tried:
        floors.arrived(world, now_ms, row.service, row.rank)
    wait_ms = _wait_ms(world, now_ms, row)
    left_ms = row.deadline_ms - now_ms
    elsewhere = None
    if row.from_domain == world.node.domain:
        elsewhere = redirects.choose(
            world, now_ms, row.service, wait_ms, left_ms, row.tried
        )
    if elsewhere is not None:
        refusal = refusals.no_headroom(world, row)
        if math.isinf(wait_ms):
            refusal = refusals.no_upstream(world, row.service)
        yield from granting.refuse(world, row, refusal, elsewhere)
        return
    door_refusal = _at_the_door(world, now_ms, row, wait_ms)
    if door_refusal is not None:
        yield from granting.refuse(world, row, door_refusal)
        return
    yield from _join(world, now_ms, row)


def _wait_ms(
    world: world_module.World, now_ms: float, row: models.QueuedRow
) -> float:
    if not choice.is_served(world, row.service):
        return math.inf
    idle = not lines.waiting(world, row.service)
    if idle and choice.pick(world, now_ms, row.service, None) is not None:
        return 0.0
    return door.expected_wait_ms(world, now_ms, row.service, row.rank)


def _at_the_door(
    world: world_module.World,
    now_ms: float,
    row: models.QueuedRow,
    wait_ms: float,
) -> verdict.Refusal | None:
    if not choice.is_served(world, row.service):
        return refusals.no_upstream(world, row.service)
    left_ms = row.deadline_ms - now_ms
    needed_ms = door.useful_ms(world, row.service)
    if wait_ms > 0.0:
        needed_ms = wait_ms + door.reserve_ms(world, row.service, left_ms)
    if left_ms <= needed_ms:
        return door.too_short(left_ms, needed_ms)
    return _permit(world, now_ms, row)


def _permit(
    world: world_module.World, now_ms: float, row: models.QueuedRow
) -> verdict.Refusal | None:
    shift = caps.Shift(
        row.ask_id, row.service, row.rank, row.home_region, row.body_bytes
    )
    return caps.permit(world, now_ms, shift)


def _join(
    world: world_module.World, now_ms: float, row: models.QueuedRow
) -> abc.Iterator[out.Output]:
    service = world.states['in-force'].services.get(row.service)
    queue_max = service.queue_max if service else const.QUEUE_MAX
    victim = door.victim(world, row, queue_max)
    if victim is not None:
        loser = lines.leave(world, victim) or row
        timers.stop(world.timers, timers.QueueExpiry(victim))
        yield from granting.refuse(
            world, loser, refusals.queue_full(world, loser)
        )
    if victim == row.ask_id:
        caps.leave(world, row.service, row.home_region, row.ask_id)
        return
    lines.join(world, row)
    yield from granting.grant(world, now_ms, row.service)
    if row.ask_id in world.queues.queued:
        left_ms = row.deadline_ms - now_ms
        reserve_ms = door.reserve_ms(world, row.service, left_ms)
        expiry_ms = row.deadline_ms - reserve_ms
        timer = timers.QueueExpiry(row.ask_id)
        timers.start(world.timers, timer, max(now_ms, expiry_ms))


def _enter_foreign(
    world: world_module.World, now_ms: float, row: models.QueuedRow
) -> abc.Iterator[out.Output]:
    upstream = None
    held = now_ms < ownership.held_until_ms(world, row.service)
    if not held and not lines.waiting(world, row.service):
        upstream = choice.pick(world, now_ms, row.service, row.avoid)
    if upstream is None:
        yield from granting.refuse(
            world, row, refusals.no_headroom(world, row)
        )
        return
    refusal = _permit(world, now_ms, row)
    if refusal is not None:
        yield from granting.refuse(world, row, refusal)
        return
    caps.start(world, now_ms, row.service, row.home_region, row.ask_id)
    yield from leases.start(world, now_ms, row, upstream)


def _repeat(
    world: world_module.World, ask_id: ids.AskId
) -> abc.Iterator[out.Output]:
    held = world.queues.grants.get(ask_id)
    answer: messages.SlotAnswer | messages.SlotWaiting
    if held is not None:
        answer = messages.SlotAnswer(ask_id, held.upstream)
    else:
        answer = messages.SlotWaiting(ask_id)
    yield out.SendPeer(ask_id.asker.entry, answer)


def _is_left_out(
    world: world_module.World, held: models.GrantRow | None
) -> bool:
    row = world.upstreams.get(held.upstream) if held else None
    return row is not None and row.on_trial


def _log_standing(
    upstream: ids.UpstreamId, before: bool, after: bool
) -> out.LogChange:
    names = {True: 'left out', False: 'in service'}
    return out.LogChange(
        'upstreams', str(upstream), names[before], names[after]
    )


def _row(
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
