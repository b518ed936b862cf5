"""Take requests through claim, slot and upstream to one answer."""

from collections import abc

from zinnialead_core.components import keys
from zinnialead_core.components.requests import admission
from zinnialead_core.components.requests import answers
from zinnialead_core.components.requests import attempts
from zinnialead_core.components.requests import endings
from zinnialead_core.components.requests import models
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module

STOPPING = 'stopping'


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Move requests on by what happened to them.

    Reads ``states`` and ``claims``; writes ``requests`` and ``timers``.
    """
    for item in inputs:
        yield from _on_claim(world, now_ms, item)
        match item:
            case inp.RequestArrived():
                yield from _arrive(world, now_ms, item)
            case inp.SlotHeld(request_id, attempt, upstream):
                yield from attempts.dispatch(
                    world, now_ms, request_id, attempt, upstream
                )
            case inp.SlotRefused():
                yield from _slot_refused(world, item)
            case inp.AnswerStarted(request_id, attempt):
                yield from answers.started(world, request_id, attempt)
            case inp.DispatchDone():
                yield from attempts.done(world, now_ms, item)
            case inp.CallerDisconnected(request_id):
                yield from endings.caller_gone(world, now_ms, request_id)
            case inp.TimerDue(timers.RequestDeadline(request_id)):
                yield from endings.deadline(world, now_ms, request_id)
            case inp.TimerDue(timers.RetryDue(request_id)):
                yield from _want_slot(world, request_id)
            case inp.StopRequested():
                world.requests.stopping.add(STOPPING)
                yield from endings.stopped_if_idle(world)


def _on_claim(
    world: world_module.World, now_ms: float, item: inp.Input
) -> abc.Iterator[out.Output]:
    match item:
        case inp.ClaimHeld(request_id):
            yield from _want_slot(world, request_id)
        case inp.ClaimConfirmed(request_id):
            yield from attempts.confirmed(world, now_ms, request_id)
        case inp.ClaimDenied(request_id, denial):
            yield from _deny(world, request_id, denial)
        case inp.ClaimClosed():
            yield from endings.stopped_if_idle(world)


def _arrive(
    world: world_module.World, now_ms: float, item: inp.RequestArrived
) -> abc.Iterator[out.Output]:
    world.counters['requests.arrived'] += 1
    decision = admission.admit(world, now_ms, item)
    match decision:
        case verdict.Refusal():
            reason = decision.reason.value
            world.counters[f'requests.refused.{reason}'] += 1
            yield out.Refuse(item.request_id, decision)
        case models.RequestRow():
            yield from _accept(world, item, decision)


def _accept(
    world: world_module.World,
    item: inp.RequestArrived,
    row: models.RequestRow,
) -> abc.Iterator[out.Output]:
    world.requests.rows[item.request_id] = row
    deadline = timers.RequestDeadline(item.request_id)
    timers.start(world.timers, deadline, row.deadline_ms)
    if item.key is None or row.idempotent:
        yield from _want_slot(world, item.request_id)
        return
    yield out.Notify(
        inp.ClaimRequested(
            item.request_id, item.key, item.key_created_ms, row.deadline_ms
        )
    )


def _want_slot(
    world: world_module.World, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    row = world.requests.rows.get(request_id)
    if row is None:
        return
    if row.phase not in (models.Phase.CLAIM, models.Phase.BACKOFF):
        return
    row = row._replace(phase=models.Phase.SLOT, attempt=row.attempt + 1)
    world.requests.rows[request_id] = row
    yield out.Notify(inp.SlotRequested(request_id, row.attempt))


def _slot_refused(
    world: world_module.World, item: inp.SlotRefused
) -> abc.Iterator[out.Output]:
    row = world.requests.rows.get(item.request_id)
    if row is None or row.attempt != item.attempt:
        return
    if row.phase is models.Phase.SLOT:
        yield from endings.refuse(world, row, item.refusal)


def _deny(
    world: world_module.World, request_id: ids.RequestId, denial: keys.Denial
) -> abc.Iterator[out.Output]:
    row = world.requests.rows.get(request_id)
    if row is None:
        return
    if row.phase not in (models.Phase.CLAIM, models.Phase.CONFIRM):
        return
    if row.phase is models.Phase.CONFIRM:
        yield out.Notify(inp.SlotReleased(request_id, row.attempt))
    match denial:
        case keys.Recorded(status, record):
            world.counters['requests.replayed'] += 1
            yield out.Replay(request_id, status, record)
        case keys.Denied(refusal):
            world.counters[f'requests.refused.{refusal.reason.value}'] += 1
            yield out.Refuse(request_id, refusal)
    yield from endings.forget(world, request_id)
