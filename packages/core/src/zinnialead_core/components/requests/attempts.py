"""Make attempts at upstreams and take in how they ended."""

from collections import abc

from zinnialead_core.components.requests import endings
from zinnialead_core.components.requests import models
from zinnialead_core.components.requests import retries
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module

NOWHERE = ids.UpstreamId('')


def dispatch(
    world: world_module.World,
    now_ms: float,
    request_id: ids.RequestId,
    attempt: int,
    upstream: ids.UpstreamId,
) -> abc.Iterator[out.Output]:
    """Send a request, once its key is confirmed, to its slot's upstream."""
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
    yield from confirmed(world, now_ms, request_id)


def confirmed(
    world: world_module.World, now_ms: float, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Send a request that has its slot and, where it needs one, its key."""
    row = world.requests.rows.get(request_id)
    if row is None or row.phase is not models.Phase.CONFIRM:
        return
    known = world.states['in-force'].upstreams.get(row.upstream or NOWHERE)
    if known is None or now_ms >= row.deadline_ms:
        yield out.Notify(inp.SlotReleased(request_id, row.attempt))
        yield from endings.refuse(world, row, _no_more(row, row.upstream))
        return
    world.requests.rows[request_id] = row._replace(phase=models.Phase.UPSTREAM)
    world.counters['requests.dispatched'] += 1
    if row.attempt == 1:
        world.counters['requests.accepted'] += 1
        retries.earn(world, row.service)
    yield out.Dispatch(
        request_id,
        row.attempt,
        known.upstream,
        known.address,
        row.deadline_ms,
        row.idempotent,
    )


def done(
    world: world_module.World, now_ms: float, item: inp.DispatchDone
) -> abc.Iterator[out.Output]:
    """Relay an attempt's answer, try again, or give up."""
    row = world.requests.rows.get(item.request_id)
    if row is None or row.attempt != item.attempt:
        world.counters['requests.late_outcome'] += 1
        yield out.Notify(inp.SlotReleased(item.request_id, item.attempt))
        return
    if row.phase not in models.AT_UPSTREAM:
        world.counters['requests.late_outcome'] += 1
        return
    yield out.Notify(_slot_gone(row, item))
    if row.phase is models.Phase.ENDING:
        yield from endings.ended(world, row, item.outcome)
        return
    match item.outcome:
        case verdict.Answered():
            yield from _answered(world, row, item.outcome)
        case _:
            yield from _failed(world, now_ms, row, item.outcome)


def _slot_gone(
    row: models.RequestRow, item: inp.DispatchDone
) -> inp.SlotReleased:
    """Tell of the slot; a cancelled attempt says nothing of upstreams."""
    outcome: verdict.Outcome | None = item.outcome
    if row.caller_gone:
        outcome = None
    return inp.SlotReleased(
        item.request_id,
        item.attempt,
        outcome,
        item.elapsed_ms,
        timed_out=row.phase is models.Phase.ENDING,
        answer_bytes=item.answer_bytes,
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
    yield from endings.forget(world, row.request_id)


def _failed(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    outcome: verdict.Outcome,
) -> abc.Iterator[out.Output]:
    row = row._replace(worst=_worse(row.worst, verdict.verdict_of(outcome)))
    world.requests.rows[row.request_id] = row
    delay_ms = retries.delay_ms(world, now_ms, row, outcome)
    if delay_ms is None:
        yield from endings.give_up(world, row, outcome)
        return
    world.requests.rows[row.request_id] = row._replace(
        phase=models.Phase.BACKOFF
    )
    retry = timers.RetryDue(row.request_id)
    timers.start(world.timers, retry, now_ms + delay_ms)


def _worse(known: verdict.Verdict, latest: verdict.Verdict) -> verdict.Verdict:
    if known is verdict.Verdict.NOT_RUN:
        return latest
    return known


def _no_more(
    row: models.RequestRow, upstream: ids.UpstreamId | None
) -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.DEADLINE_PASSED,
        f'the slot at {upstream!r} came too late for attempt {row.attempt}',
    )
