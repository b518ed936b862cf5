"""Advance requests through claim, slot and attempt to one answer."""

from collections import abc

from zinnialead_core.components import keys
from zinnialead_core.components.requests import admission
from zinnialead_core.components.requests import answers
from zinnialead_core.components.requests import attempts
from zinnialead_core.components.requests import completion
from zinnialead_core.components.requests import models
from zinnialead_core.components.requests import stopping
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Advance requests by the events of a tick.

    Reads ``states`` and ``claims``; writes ``requests`` and ``timers``.
    """
    for event in inputs:
        yield from _on_claim_event(world, now_ms, event)
        match event:
            case inp.RequestArrived():
                yield from _on_arrival(world, now_ms, event)
            case inp.SlotHeld(request_id, attempt, upstream):
                yield from attempts.dispatch(
                    world, now_ms, request_id, attempt, upstream
                )
            case inp.SlotRefused():
                yield from _on_slot_refused(world, event)
            case inp.AnswerStarted(request_id, attempt):
                yield from answers.on_started(world, request_id, attempt)
            case inp.DispatchDone():
                yield from attempts.on_done(world, now_ms, event)
            case inp.CallerDisconnected(request_id):
                yield from completion.on_caller_gone(world, now_ms, request_id)
            case inp.TimerDue(timers.RequestDeadline(request_id)):
                yield from completion.on_deadline(world, now_ms, request_id)
            case inp.TimerDue(timers.RetryDue(request_id)):
                yield from _request_slot(world, request_id)
            case inp.StopRequested():
                yield from stopping.begin(world, now_ms)
                yield from completion.stopped_if_idle(world)
            case inp.StopForced():
                yield from stopping.begin(world, now_ms)
                yield from completion.end_all(world, now_ms)
            case inp.TimerDue(timers.StopDue()):
                yield from completion.end_all(world, now_ms)


def _on_claim_event(
    world: world_module.World, now_ms: float, event: inp.Input
) -> abc.Iterator[out.Output]:
    match event:
        case inp.ClaimHeld(request_id):
            yield from _request_slot(world, request_id)
        case inp.ClaimConfirmed(request_id):
            yield from attempts.on_confirmed(world, now_ms, request_id)
        case inp.ClaimDenied(request_id, denial):
            yield from _on_claim_denied(world, request_id, denial)
        case inp.ClaimClosed():
            yield from completion.stopped_if_idle(world)


def _on_arrival(
    world: world_module.World, now_ms: float, arrival: inp.RequestArrived
) -> abc.Iterator[out.Output]:
    world.counters['requests.arrived'] += 1
    decision = admission.admit(world, now_ms, arrival)
    match decision:
        case verdict.Refusal():
            reason = decision.reason.value
            world.counters[f'requests.refused.{reason}'] += 1
            yield out.Refuse(arrival.request_id, decision)
        case models.RequestRow():
            yield from _accept(world, arrival, decision)


def _accept(
    world: world_module.World,
    arrival: inp.RequestArrived,
    row: models.RequestRow,
) -> abc.Iterator[out.Output]:
    world.requests.rows[arrival.request_id] = row
    deadline = timers.RequestDeadline(arrival.request_id)
    timers.start(world.timers, deadline, row.deadline_ms)
    if arrival.key is None or row.idempotent:
        yield from _request_slot(world, arrival.request_id)
        return
    yield out.Notify(
        inp.ClaimRequested(
            arrival.request_id,
            arrival.key,
            arrival.key_created_ms,
            row.deadline_ms,
        )
    )


def _request_slot(
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


def _on_slot_refused(
    world: world_module.World, refused: inp.SlotRefused
) -> abc.Iterator[out.Output]:
    row = world.requests.rows.get(refused.request_id)
    if row is None or row.attempt != refused.attempt:
        return
    if row.phase is models.Phase.SLOT:
        yield from completion.refuse(world, row, refused.refusal)


def _on_claim_denied(
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
    yield from completion.remove(world, request_id)
