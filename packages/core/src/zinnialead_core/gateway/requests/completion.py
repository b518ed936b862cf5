"""Complete requests: answer, refuse or abandon them."""

from collections import abc

from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.requests import admission
from zinnialead_core.gateway.requests import models
from zinnialead_core.gateway.requests import stopping
from zinnialead_core.gateway.requests import wait_queue
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core import timer_table
from zinnialead_core import verdict


def relay(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    status: int,
) -> abc.Iterator[out.Output]:
    """Relay the upstream's answer to the caller."""
    world.counters[f'requests.answered.{row.route.rank}'] += 1
    after_ms = now_ms - row.arrived_ms
    yield out.Relay(row.request_id, row.attempt, row.route.name, after_ms)
    if status >= 500 or now_ms - row.arrived_ms > row.route.target_ms:
        yield _log(world, now_ms, row, 'answered', f'status {status}')
    remove_row(world, row.request_id)


def refuse(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    refusal: verdict.Refusal,
) -> abc.Iterator[out.Output]:
    """Refuse a request that has no attempt in progress."""
    if row.worst_verdict is verdict.Verdict.MAY_HAVE_RUN:
        refusal = refusal._replace(verdict=row.worst_verdict)
    world.counters[f'requests.refused.{refusal.reason.value}'] += 1
    yield out.Refuse(row.request_id, refusal)
    yield _log(world, now_ms, row, refusal.verdict.value, refusal.detail)
    wait_queue.remove(world, row)
    remove_row(world, row.request_id)


def give_up(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    outcome: verdict.Outcome,
) -> abc.Iterator[out.Output]:
    """Refuse a request after its last attempt failed."""
    detail = f'attempt {row.attempt} at {row.upstream}: {outcome}'
    refusal = verdict.Refusal(
        row.worst_verdict, verdict.Reason.UPSTREAM_LOST, detail, 300.0
    )
    yield from refuse(world, now_ms, row, refusal)


def caller_disconnected(
    world: world_module.World, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Abandon the request of a caller that has disconnected."""
    row = world.requests.rows.get(request_id)
    if row is None:
        return
    world.counters['requests.caller_gone'] += 1
    yield from _abandon(world, row)


def expire(
    world: world_module.World, now_ms: float, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Refuse a request whose deadline has passed."""
    row = world.requests.rows.get(request_id)
    if row is None or row.is_abandoned:
        return
    yield from _end_wait(world, now_ms, row, verdict.Reason.DEADLINE_PASSED)


def end_all(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Refuse all requests that a stopping entry still holds."""
    for row in list(world.requests.rows.values()):
        if not row.is_abandoned:
            yield from _end_wait(world, now_ms, row, verdict.Reason.STOPPING)


def _end_wait(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    reason: verdict.Reason,
) -> abc.Iterator[out.Output]:
    """Refuse a request that is queued or whose upstream is at work."""
    if row.phase is models.Phase.WAITING:
        refusal = admission.not_run_refusal(
            reason, 'its time passed while it waited'
        )
        yield from refuse(world, now_ms, row, refusal)
        return
    refusal = verdict.Refusal(
        verdict.Verdict.MAY_HAVE_RUN,
        reason,
        f'no answer of {row.upstream} in time',
    )
    world.counters[f'requests.refused.{reason.value}'] += 1
    yield out.Refuse(row.request_id, refusal)
    yield _log(world, now_ms, row, 'may-have-run', refusal.detail)
    yield from _abandon(world, row)


def remove_row(world: world_module.World, request_id: ids.RequestId) -> None:
    """Remove a request's row and stop its timers."""
    world.requests.rows.pop(request_id, None)
    timer_table.stop(world.timers, timers.RequestDeadline(request_id))
    timer_table.stop(world.timers, timers.QueueTimeout(request_id))


def _abandon(
    world: world_module.World, row: models.RequestRow
) -> abc.Iterator[out.Output]:
    """Drop a queued request, or cancel its attempt.

    A cancelled attempt's end removes the row.
    """
    if row.phase is models.Phase.WAITING:
        wait_queue.remove(world, row)
        remove_row(world, row.request_id)
        return
    world.requests.rows[row.request_id] = row._replace(is_abandoned=True)
    yield out.CancelAttempt(row.request_id, row.attempt)


def _log(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    decision: str,
    detail: str,
) -> out.LogDecision:
    configuration = routes.active_configuration(world)
    return out.LogDecision(
        row.request_id,
        row.name,
        decision,
        {
            'route': row.route.name,
            'service': row.service,
            'rank': row.route.rank,
            'version': configuration.version if configuration else 0,
            'upstream': row.upstream,
            'attempt': row.attempt,
            'after_ms': round(now_ms - row.arrived_ms),
            'left_ms': round(row.deadline_ms - now_ms),
            'stopping_ms': stopping.elapsed_ms(world, now_ms),
            'detail': detail,
        },
    )
