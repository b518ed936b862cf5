"""Dispatch attempts to upstreams and process their outcomes."""

from collections import abc

from zinnialead_core.components.requests import completion
from zinnialead_core.components.requests import models
from zinnialead_core.components.requests import retries
from zinnialead_core.components.requests import stopping
from zinnialead_core.components.upstreams import announcements
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module

NO_UPSTREAM = ids.UpstreamId('')


def dispatch(
    world: world_module.World,
    now_ms: float,
    request_id: ids.RequestId,
    attempt: int,
    upstream: ids.UpstreamId,
) -> abc.Iterator[out.Output]:
    """Send a request to its slot's upstream, confirming any key first."""
    row = world.requests.rows.get(request_id)
    if row is None or row.attempt != attempt:
        yield out.Notify(inp.SlotReleased(request_id, attempt))
        return
    if row.phase is not models.Phase.SLOT:
        return
    row = row._replace(phase=models.Phase.CONFIRM, upstream=upstream)
    world.requests.rows[request_id] = row
    if row.keyed:
        yield out.Notify(inp.ConfirmationRequested(request_id))
        return
    yield from on_confirmed(world, now_ms, request_id)


def on_confirmed(
    world: world_module.World, now_ms: float, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Send a request that has its slot and, if keyed, its confirmed key."""
    row = world.requests.rows.get(request_id)
    if row is None or row.phase is not models.Phase.CONFIRM:
        return
    upstream_row = world.states['in-force'].upstreams.get(
        row.upstream or NO_UPSTREAM
    )
    if upstream_row is None or now_ms >= row.deadline_ms:
        yield out.Notify(inp.SlotReleased(request_id, row.attempt))
        yield from completion.refuse(
            world, row, _slot_too_late(row, row.upstream)
        )
        return
    if announcements.is_left_alone(world, now_ms, upstream_row.upstream):
        yield from _ask_again(world, now_ms, row, upstream_row.upstream)
        return
    if not stopping.can_end(world, now_ms, row):
        yield out.Notify(inp.SlotReleased(request_id, row.attempt))
        yield from completion.end_by_stop(world, now_ms, row)
        return
    row = row._replace(phase=models.Phase.UPSTREAM)
    world.requests.rows[request_id] = row
    stopping.restart_deadline(world, row)
    world.counters['requests.dispatched'] += 1
    if row.attempt == 1:
        world.counters['requests.accepted'] += 1
        retries.add_tokens(world, row.service)
    yield out.Dispatch(
        request_id,
        row.attempt,
        upstream_row.upstream,
        upstream_row.address,
        row.deadline_ms,
        row.idempotent,
    )


def _ask_again(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    upstream: ids.UpstreamId,
) -> abc.Iterator[out.Output]:
    """Return a slot at an upstream that its owner does not know to avoid."""
    world.counters['requests.slot_left_alone'] += 1
    world.requests.rows[row.request_id] = row._replace(phase=models.Phase.SLOT)
    yield from announcements.tell_owner(world, now_ms, upstream)
    yield out.Notify(inp.SlotReleased(row.request_id, row.attempt))
    yield out.Notify(inp.SlotRequested(row.request_id, row.attempt))


def on_done(
    world: world_module.World, now_ms: float, result: inp.DispatchDone
) -> abc.Iterator[out.Output]:
    """Relay an attempt's answer, schedule a retry, or give up."""
    row = world.requests.rows.get(result.request_id)
    if row is None or row.attempt != result.attempt:
        world.counters['requests.late_outcome'] += 1
        yield out.Notify(inp.SlotReleased(result.request_id, result.attempt))
        return
    if row.phase not in models.AT_UPSTREAM:
        world.counters['requests.late_outcome'] += 1
        return
    yield out.Notify(_slot_released(row, result))
    match result.outcome:
        case verdict.Answered():
            stopping.record_service_time(world, row.service, result.elapsed_ms)
    if row.phase is models.Phase.ENDING:
        yield from completion.record_end(world, row, result.outcome)
        return
    match result.outcome:
        case verdict.Answered():
            yield from _answered(world, row, result.outcome)
        case _:
            yield from _failed(world, now_ms, row, result.outcome)


def _slot_released(
    row: models.RequestRow, result: inp.DispatchDone
) -> inp.SlotReleased:
    """Return the slot's release, without outcome if the caller has left.

    A cancelled attempt must not count for or against its upstream.
    """
    outcome: verdict.Outcome | None = result.outcome
    if row.caller_gone:
        outcome = None
    return inp.SlotReleased(
        result.request_id,
        result.attempt,
        outcome,
        result.elapsed_ms,
        timed_out=row.phase is models.Phase.ENDING,
        answer_bytes=result.answer_bytes,
    )


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
    yield from completion.remove(world, row.request_id)


def _failed(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    outcome: verdict.Outcome,
) -> abc.Iterator[out.Output]:
    row = row._replace(
        worst_verdict=_worse(row.worst_verdict, verdict.verdict_of(outcome))
    )
    world.requests.rows[row.request_id] = row
    delay_ms = retries.delay_ms(world, now_ms, row, outcome)
    if delay_ms is None:
        yield from completion.refuse_after_failure(world, row, outcome)
        return
    row = row._replace(phase=models.Phase.BACKOFF)
    world.requests.rows[row.request_id] = row
    stopping.restart_deadline(world, row)
    retry = timers.RetryDue(row.request_id)
    timers.start(world.timers, retry, now_ms + delay_ms)


def _worse(worst: verdict.Verdict, latest: verdict.Verdict) -> verdict.Verdict:
    if worst is verdict.Verdict.NOT_RUN:
        return latest
    return worst


def _slot_too_late(
    row: models.RequestRow, upstream: ids.UpstreamId | None
) -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.DEADLINE_PASSED,
        f'the slot at {upstream!r} came too late for attempt {row.attempt}',
    )
