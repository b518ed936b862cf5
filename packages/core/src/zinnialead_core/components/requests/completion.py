"""End requests on a refusal, a departed caller or a deadline.

A request with an attempt at an upstream keeps its row and slot until the
attempt ends.  The upstream is busy until then, and only the end of the
attempt shows whether keyed work has run: the application cancels such
work if the upstream guarantees not to start it, else waits for its end.
"""

from collections import abc

from zinnialead_core.components import keys
from zinnialead_core.components.keys import claims
from zinnialead_core.components.requests import const
from zinnialead_core.components.requests import models
from zinnialead_core.components.requests import stopping
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module

NOTHING_SENT = verdict.NotSent()


def on_caller_gone(
    world: world_module.World, now_ms: float, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Abandon the request of a caller that has left."""
    row = world.requests.rows.get(request_id)
    if row is None or row.phase is models.Phase.ENDING:
        return
    row = row._replace(caller_gone=True)
    world.requests.rows[request_id] = row
    refusal = verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.CALLER_GONE,
        'caller left',
    )
    yield from _abandon(world, now_ms, row, refusal)


def on_deadline(
    world: world_module.World, now_ms: float, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Refuse a request at its deadline, or give up its last attempt."""
    row = world.requests.rows.get(request_id)
    if row is None:
        return
    if row.phase is models.Phase.ENDING:
        world.counters['requests.ending_dropped'] += 1
        yield out.Notify(inp.SlotReleased(request_id, row.attempt))
        lost = verdict.Lost(f'no end of attempt {row.attempt}')
        yield from record_end(world, row, lost)
        return
    if stopping.is_bound(world, row):
        yield from end_by_stop(world, now_ms, row)
        return
    refusal = verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.DEADLINE_PASSED,
        'the deadline passed before an answer',
    )
    yield from _abandon(world, now_ms, row, refusal)


def end_all(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Answer every request and wait for no attempt, as the stop ends."""
    for row in list(world.requests.rows.values()):
        if row.phase is not models.Phase.ENDING:
            yield from end_by_stop(world, now_ms, row)
    for request_id in list(world.requests.rows):
        yield from on_deadline(world, now_ms, request_id)
    open_claims = sum(map(keys.is_open, world.claims.values()))
    world.counters['requests.stop_claims_open'] += open_claims
    yield out.Stopped()


def end_by_stop(
    world: world_module.World, now_ms: float, row: models.RequestRow
) -> abc.Iterator[out.Output]:
    """Answer a request that can't go on, since the process is to end."""
    yield stopping.log_end(world, row)
    if row.phase in models.AT_UPSTREAM:
        world.counters['requests.stop_cut'] += 1
    yield from _abandon(world, now_ms, row, stopping.refusal(row))


def record_end(
    world: world_module.World,
    row: models.RequestRow,
    outcome: verdict.Outcome,
) -> abc.Iterator[out.Output]:
    """Record the outcome of work whose caller was already answered."""
    if row.keyed:
        yield out.Notify(
            inp.ClaimEnded(row.request_id, _final_outcome(row, outcome))
        )
    yield from remove(world, row.request_id)


def refuse_after_failure(
    world: world_module.World,
    row: models.RequestRow,
    outcome: verdict.Outcome,
) -> abc.Iterator[out.Output]:
    """Refuse a request after its last attempt failed."""
    detail = f'attempt {row.attempt} at {row.upstream}: {outcome}'
    refusal = verdict.Refusal(
        row.worst_verdict, verdict.Reason.UPSTREAM_LOST, detail
    )
    yield from refuse(world, row, refusal, outcome)


def refuse(
    world: world_module.World,
    row: models.RequestRow,
    refusal: verdict.Refusal,
    outcome: verdict.Outcome = NOTHING_SENT,
) -> abc.Iterator[out.Output]:
    """Refuse a request without an attempt in progress."""
    if row.keyed:
        end = _final_outcome(row, outcome)
        yield out.Notify(inp.ClaimEnded(row.request_id, end))
    yield _refuse_output(world, row, refusal)
    yield from remove(world, row.request_id)


def remove(
    world: world_module.World, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Remove a request's row and timers, and report a completed stop."""
    world.requests.rows.pop(request_id, None)
    timers.stop(world.timers, timers.RequestDeadline(request_id))
    timers.stop(world.timers, timers.RetryDue(request_id))
    yield from stopped_if_idle(world)


def stopped_if_idle(
    world: world_module.World,
) -> abc.Iterator[out.Output]:
    """Report a stopping entry as stopped once nothing is in flight."""
    if not world.requests.stopping or world.requests.rows:
        return
    # An open claim has an end to report.  Without it, registrars could only
    # answer may-have-run.
    if not any(map(keys.is_open, world.claims.values())):
        yield out.Stopped()


def _abandon(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    refusal: verdict.Refusal,
) -> abc.Iterator[out.Output]:
    request_id = row.request_id
    if row.phase not in models.AT_UPSTREAM:
        if row.keyed and row.phase is models.Phase.CLAIM:
            refusal = _claim_refusal(world, row, refusal)
        yield out.Notify(inp.SlotReleased(request_id, row.attempt))
        yield from refuse(world, row, refusal)
        return
    ending_row = row._replace(
        phase=models.Phase.ENDING, worst_verdict=verdict.Verdict.MAY_HAVE_RUN
    )
    world.requests.rows[request_id] = ending_row
    give_up_ms = max(now_ms, row.deadline_ms) + const.ENDING_MAX_MS
    timers.start(world.timers, timers.RequestDeadline(request_id), give_up_ms)
    yield out.CancelDispatch(request_id, row.attempt)
    yield _refuse_output(world, ending_row, refusal)


def _claim_refusal(
    world: world_module.World,
    row: models.RequestRow,
    refusal: verdict.Refusal,
) -> verdict.Refusal:
    """Return the refusal of a request whose key was not claimed in time."""
    claim_refusal = claims.deadline_refusal(world, row.request_id)
    if refusal.reason is verdict.Reason.STOPPING:
        return refusal._replace(verdict=claim_refusal.verdict)
    return claim_refusal


def _refuse_output(
    world: world_module.World,
    row: models.RequestRow,
    refusal: verdict.Refusal,
) -> out.Refuse:
    world.counters[f'requests.refused.{refusal.reason.value}'] += 1
    if row.worst_verdict is verdict.Verdict.MAY_HAVE_RUN:
        refusal = refusal._replace(verdict=row.worst_verdict)
    return out.Refuse(row.request_id, refusal)


def _final_outcome(
    row: models.RequestRow, outcome: verdict.Outcome
) -> verdict.Outcome:
    """Return the outcome of keyed work over all its attempts.

    Keyed work is retried only if the previous attempt has certainly not
    run, so the last attempt decides unless an earlier one was lost.
    """
    if row.phase is models.Phase.ENDING:
        return outcome
    if row.worst_verdict is verdict.Verdict.MAY_HAVE_RUN:
        return verdict.Lost(f'attempt {row.attempt}')
    return outcome
