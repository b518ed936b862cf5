"""Take requests through claim, slot and upstream to one answer."""

from collections import abc

from zinnialead_core.components import keys
from zinnialead_core.components.requests import admission
from zinnialead_core.components.requests import answers
from zinnialead_core.components.requests import models
from zinnialead_core.components.requests import retries
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module

STOPPING = 'stopping'
NOTHING_SENT = verdict.NotSent()


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Move requests on by what happened to them.

    Reads ``states``; writes ``requests`` and ``timers``.
    """
    for item in inputs:
        match item:
            case inp.RequestArrived():
                yield from _arrive(world, now_ms, item)
            case inp.ClaimHeld(request_id):
                yield from _want_slot(world, request_id)
            case inp.ClaimDenied(request_id, denial):
                yield from _deny(world, request_id, denial)
            case inp.SlotHeld(request_id, attempt, upstream):
                yield from _dispatch(world, request_id, attempt, upstream)
            case inp.SlotRefused(request_id, attempt, refusal):
                if _current(world, request_id, attempt):
                    yield from _refuse(world, request_id, refusal)
            case inp.AnswerStarted(request_id, attempt):
                yield from answers.started(world, request_id, attempt)
            case inp.DispatchDone(request_id, attempt, outcome):
                yield from _attempt_done(
                    world, now_ms, request_id, attempt, outcome
                )
            case inp.CallerGone(request_id):
                yield from _caller_gone(world, request_id)
            case inp.TimerDue(timers.RequestDeadline(request_id)):
                yield from _deadline(world, request_id)
            case inp.TimerDue(timers.RetryDue(request_id)):
                yield from _want_slot(world, request_id)
            case inp.StopAsked():
                world.requests.stopping.add(STOPPING)
                yield from _stopped_if_idle(world)


def _arrive(
    world: world_module.World, now_ms: float, item: inp.RequestArrived
) -> abc.Iterator[out.Output]:
    world.counters['requests.arrived'] += 1
    decision = admission.admit(world, now_ms, item)
    if isinstance(decision, verdict.Refusal):
        world.counters[f'requests.refused.{decision.reason.value}'] += 1
        yield out.Refuse(item.request_id, decision)
        return
    world.requests.rows[item.request_id] = decision
    retries.earn(world, decision.service)
    deadline = timers.RequestDeadline(item.request_id)
    timers.start(world.timers, deadline, decision.deadline_ms)
    if item.key is None or decision.idempotent:
        yield from _want_slot(world, item.request_id)
        return
    yield out.Notify(
        inp.ClaimWanted(
            item.request_id,
            item.key,
            item.key_created_ms,
            decision.deadline_ms,
        )
    )


def _current(
    world: world_module.World, request_id: ids.RequestId, attempt: int
) -> bool:
    row = world.requests.rows.get(request_id)
    return row is not None and row.attempt == attempt


def _want_slot(
    world: world_module.World, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    row = world.requests.rows.get(request_id)
    if row is None or row.phase not in (
        models.Phase.CLAIM,
        models.Phase.BACKOFF,
    ):
        return
    row = row._replace(phase=models.Phase.SLOT, attempt=row.attempt + 1)
    world.requests.rows[request_id] = row
    yield out.Notify(inp.SlotWanted(request_id, row.attempt))


def _deny(
    world: world_module.World, request_id: ids.RequestId, denial: keys.Denial
) -> abc.Iterator[out.Output]:
    row = world.requests.rows.get(request_id)
    if row is None or row.phase is not models.Phase.CLAIM:
        return
    match denial:
        case keys.Recorded(status, record):
            world.counters['requests.replayed'] += 1
            yield out.Replay(request_id, status, record)
        case keys.Denied(refusal):
            world.counters[f'requests.refused.{refusal.reason.value}'] += 1
            yield out.Refuse(request_id, refusal)
    yield from _forget(world, request_id)


def _dispatch(
    world: world_module.World,
    request_id: ids.RequestId,
    attempt: int,
    upstream: ids.UpstreamId,
) -> abc.Iterator[out.Output]:
    row = world.requests.rows.get(request_id)
    known = world.states['in-force'].upstreams.get(upstream)
    if row is None or row.attempt != attempt or known is None:
        yield out.Notify(inp.SlotGone(request_id, attempt))
        return
    world.requests.rows[request_id] = row._replace(
        phase=models.Phase.UPSTREAM, upstream=upstream
    )
    world.counters['requests.dispatched'] += 1
    yield out.Dispatch(
        request_id,
        attempt,
        upstream,
        known.address,
        row.deadline_ms,
        row.idempotent,
    )


def _attempt_done(
    world: world_module.World,
    now_ms: float,
    request_id: ids.RequestId,
    attempt: int,
    outcome: verdict.Outcome,
) -> abc.Iterator[out.Output]:
    yield out.Notify(inp.SlotGone(request_id, attempt))
    row = world.requests.rows.get(request_id)
    if row is None or row.attempt != attempt:
        world.counters['requests.late_outcome'] += 1
        return
    if isinstance(outcome, verdict.Answered):
        yield from _answered(world, row, outcome)
        return
    row = row._replace(worst=_worse(row.worst, verdict.verdict_of(outcome)))
    world.requests.rows[request_id] = row
    delay_ms = retries.delay_ms(world, now_ms, row, outcome)
    if delay_ms is not None:
        world.requests.rows[request_id] = row._replace(
            phase=models.Phase.BACKOFF
        )
        retry = timers.RetryDue(request_id)
        timers.start(world.timers, retry, now_ms + delay_ms)
        return
    yield from _give_up(world, row, outcome)


def _worse(known: verdict.Verdict, latest: verdict.Verdict) -> verdict.Verdict:
    if known is verdict.Verdict.NOT_RUN:
        return latest
    return known


def _answered(
    world: world_module.World,
    row: models.RequestRow,
    outcome: verdict.Answered,
) -> abc.Iterator[out.Output]:
    if row.keyed:
        yield out.Notify(inp.ClaimEnded(row.request_id, outcome))
    world.counters[f'requests.answered.{row.rank}'] += 1
    if row.phase is not models.Phase.ANSWER:
        yield out.Relay(row.request_id, row.attempt)
    yield from _forget(world, row.request_id)


def _give_up(
    world: world_module.World,
    row: models.RequestRow,
    outcome: verdict.Outcome,
) -> abc.Iterator[out.Output]:
    detail = f'attempt {row.attempt} at {row.upstream}: {outcome}'
    refusal = verdict.Refusal(row.worst, verdict.Reason.UPSTREAM_LOST, detail)
    yield from _refuse(world, row.request_id, refusal, outcome)


def _refuse(
    world: world_module.World,
    request_id: ids.RequestId,
    refusal: verdict.Refusal,
    outcome: verdict.Outcome = NOTHING_SENT,
) -> abc.Iterator[out.Output]:
    row = world.requests.rows.get(request_id)
    if row is None:
        return
    if row.worst is verdict.Verdict.MAY_HAVE_RUN:
        refusal = refusal._replace(verdict=row.worst)
        outcome = verdict.Lost(refusal.detail)
    if row.keyed:
        yield out.Notify(inp.ClaimEnded(request_id, outcome))
    world.counters[f'requests.refused.{refusal.reason.value}'] += 1
    yield out.Refuse(request_id, refusal)
    yield from _forget(world, request_id)


def _caller_gone(
    world: world_module.World, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    refusal = verdict.Refusal(
        verdict.Verdict.NOT_RUN, verdict.Reason.CALLER_GONE, 'caller left'
    )
    yield from _abandon(world, request_id, refusal)


def _deadline(
    world: world_module.World, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    refusal = verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.DEADLINE_PASSED,
        'the deadline passed before an answer',
    )
    yield from _abandon(world, request_id, refusal)


def _abandon(
    world: world_module.World,
    request_id: ids.RequestId,
    refusal: verdict.Refusal,
) -> abc.Iterator[out.Output]:
    row = world.requests.rows.get(request_id)
    if row is None:
        return
    if row.phase in (models.Phase.UPSTREAM, models.Phase.ANSWER):
        yield out.CancelDispatch(request_id, row.attempt)
        world.requests.rows[request_id] = row._replace(
            worst=verdict.Verdict.MAY_HAVE_RUN
        )
    if row.phase is models.Phase.SLOT:
        yield out.Notify(inp.SlotGone(request_id, row.attempt))
    yield from _refuse(world, request_id, refusal)


def _forget(
    world: world_module.World, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    world.requests.rows.pop(request_id, None)
    timers.stop(world.timers, timers.RequestDeadline(request_id))
    timers.stop(world.timers, timers.RetryDue(request_id))
    yield from _stopped_if_idle(world)


def _stopped_if_idle(
    world: world_module.World,
) -> abc.Iterator[out.Output]:
    if world.requests.stopping and not world.requests.rows:
        yield out.Stopped()
