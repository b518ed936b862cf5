"""End requests: by a refusal, a caller that left, or a deadline.

A request whose attempt is still at its upstream keeps its row and its
slot until the attempt ends, since the upstream is busy until then, and
since only the attempt's end says what became of keyed work: the edge
cancels such work where the upstream promises not to start it, and hears
it out where it has started.
"""

from collections import abc

from zinnialead_core.components import keys
from zinnialead_core.components.keys import claims
from zinnialead_core.components.requests import const
from zinnialead_core.components.requests import models
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module

NOTHING_SENT = verdict.NotSent()


def caller_gone(
    world: world_module.World, now_ms: float, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Drop the work of a caller that left."""
    row = world.requests.rows.get(request_id)
    if row is None or row.phase is models.Phase.ENDING:
        return
    row = row._replace(caller_gone=True)
    world.requests.rows[request_id] = row
    refusal = verdict.Refusal(
        verdict.Verdict.NOT_RUN, verdict.Reason.CALLER_GONE, 'caller left'
    )
    yield from _abandon(world, now_ms, row, refusal)


def deadline(
    world: world_module.World, now_ms: float, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Refuse a request whose time is over."""
    row = world.requests.rows.get(request_id)
    if row is None:
        return
    if row.phase is models.Phase.ENDING:
        world.counters['requests.ending_dropped'] += 1
        yield out.Notify(inp.SlotReleased(request_id, row.attempt))
        lost = verdict.Lost(f'no end of attempt {row.attempt}')
        yield from ended(world, row, lost)
        return
    refusal = verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.DEADLINE_PASSED,
        'the deadline passed before an answer',
    )
    yield from _abandon(world, now_ms, row, refusal)


def ended(
    world: world_module.World,
    row: models.RequestRow,
    outcome: verdict.Outcome,
) -> abc.Iterator[out.Output]:
    """Record the true end of work whose caller has its answer."""
    if row.keyed:
        yield out.Notify(
            inp.ClaimEnded(row.request_id, _true_end(row, outcome))
        )
    yield from forget(world, row.request_id)


def give_up(
    world: world_module.World,
    row: models.RequestRow,
    outcome: verdict.Outcome,
) -> abc.Iterator[out.Output]:
    """Refuse a request after its last attempt failed."""
    detail = f'attempt {row.attempt} at {row.upstream}: {outcome}'
    refusal = verdict.Refusal(row.worst, verdict.Reason.UPSTREAM_LOST, detail)
    yield from refuse(world, row, refusal, outcome)


def refuse(
    world: world_module.World,
    row: models.RequestRow,
    refusal: verdict.Refusal,
    outcome: verdict.Outcome = NOTHING_SENT,
) -> abc.Iterator[out.Output]:
    """Refuse a request that has no attempt at an upstream."""
    if row.keyed:
        end = _true_end(row, outcome)
        yield out.Notify(inp.ClaimEnded(row.request_id, end))
    yield _told(world, row, refusal)
    yield from forget(world, row.request_id)


def forget(
    world: world_module.World, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Drop a request's row and its timers."""
    world.requests.rows.pop(request_id, None)
    timers.stop(world.timers, timers.RequestDeadline(request_id))
    timers.stop(world.timers, timers.RetryDue(request_id))
    yield from stopped_if_idle(world)


def stopped_if_idle(
    world: world_module.World,
) -> abc.Iterator[out.Output]:
    """Tell that a stopping entry has nothing in flight any more."""
    if not world.requests.stopping or world.requests.rows:
        return
    # Registrars that never hear of an end could only say may-have-run.
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
            refusal = claims.deadline_refusal(world, request_id)
        yield out.Notify(inp.SlotReleased(request_id, row.attempt))
        yield from refuse(world, row, refusal)
        return
    ending = row._replace(
        phase=models.Phase.ENDING, worst=verdict.Verdict.MAY_HAVE_RUN
    )
    world.requests.rows[request_id] = ending
    drop_ms = max(now_ms, row.deadline_ms) + const.ENDING_MAX_MS
    timers.start(world.timers, timers.RequestDeadline(request_id), drop_ms)
    yield out.CancelDispatch(request_id, row.attempt)
    yield _told(world, ending, refusal)


def _told(
    world: world_module.World,
    row: models.RequestRow,
    refusal: verdict.Refusal,
) -> out.Refuse:
    world.counters[f'requests.refused.{refusal.reason.value}'] += 1
    if row.worst is verdict.Verdict.MAY_HAVE_RUN:
        refusal = refusal._replace(verdict=row.worst)
    return out.Refuse(row.request_id, refusal)


def _true_end(
    row: models.RequestRow, outcome: verdict.Outcome
) -> verdict.Outcome:
    """Return what became of keyed work, over all its attempts.

    Keyed work is tried again only after a true not-run, so the last
    attempt's end is the end, but where an earlier one was lost.
    """
    if row.phase is models.Phase.ENDING:
        return outcome
    if row.worst is verdict.Verdict.MAY_HAVE_RUN:
        return verdict.Lost(f'attempt {row.attempt}')
    return outcome
