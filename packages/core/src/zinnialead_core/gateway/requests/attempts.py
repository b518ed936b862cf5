"""Send requests to upstreams, and retry them after failures."""

from collections import abc

from zinnialead_core.gateway.health_checks import coordinator as health_checks
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.placement import cold_rate_limit
from zinnialead_core.gateway.placement import coordinator as placement
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models as placement_models
from zinnialead_core.gateway.placement import remote_share
from zinnialead_core.gateway.requests import completion
from zinnialead_core.gateway.requests import const
from zinnialead_core.gateway.requests import models
from zinnialead_core.gateway.requests import retry_budget
from zinnialead_core.gateway.requests import stopping
from zinnialead_core.gateway.requests import wait_queue
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core import verdict


def send_or_queue(
    world: world_module.World, now_ms: float, row: models.RequestRow
) -> abc.Iterator[out.Output]:
    """Send a request to an upstream with capacity, or queue it."""
    if row.attempt == 0:
        remote_share.add_credit(world, row.service)
    upstream = choose(world, now_ms, row)
    if upstream is None:
        yield from wait_queue.enqueue(world, now_ms, row)
        return
    yield from send(world, now_ms, row, upstream)


def choose(
    world: world_module.World, now_ms: float, row: models.RequestRow
) -> ids.UpstreamId | None:
    """Return the upstream of the next attempt, None if none has capacity."""
    return placement.choose(world, now_ms, _to_placement_request(row))


def available_from_ms(
    world: world_module.World, now_ms: float, row: models.RequestRow
) -> float | None:
    """Return when the first upstream may take the next attempt, if any."""
    request = _to_placement_request(row)
    return placement.available_from_ms(world, now_ms, request)


def _to_placement_request(
    row: models.RequestRow,
) -> placement_models.PlacementRequest:
    return placement_models.PlacementRequest(
        row.service,
        row.object_key,
        row.route.rank,
        row.route.home_regions,
        row.tried_upstreams,
    )


def send(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    upstream: ids.UpstreamId,
) -> abc.Iterator[out.Output]:
    """Start an attempt at an upstream."""
    upstream_row = world.upstreams.rows[upstream]
    wait_queue.remove(world, row)
    loads.record_start(world, upstream)
    cold_rate_limit.record_send(world, now_ms, upstream)
    if row.send_count:
        retry_budget.record_retry(world, now_ms, row.service)
    row = row._replace(
        phase=models.Phase.UPSTREAM,
        attempt=row.attempt + 1,
        send_count=row.send_count + 1,
        upstream=upstream,
        tried_upstreams=(*row.tried_upstreams, upstream),
    )
    world.requests.rows[row.request_id] = row
    world.counters['requests.sent'] += 1
    yield _log_sent(world, now_ms, row, upstream)
    idle_max_ms = (
        const.IDLE_MAX_IDEMPOTENT_MS
        if row.route.idempotent
        else const.IDLE_MAX_NON_IDEMPOTENT_MS
    )
    yield out.Dispatch(
        row.request_id,
        row.attempt,
        upstream,
        upstream_row.address,
        row.deadline_ms - now_ms,
        idle_max_ms,
    )
    yield from health_checks.check_first_use(world, now_ms, upstream_row)


def _log_sent(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    upstream: ids.UpstreamId,
) -> out.LogDecision:
    load = loads.get(world, upstream)
    cold_for_ms = upstreams.cold_for_ms(world, now_ms, upstream)
    configuration = routes.active_configuration(world)
    inputs: dict[str, str | float | int | None] = {
        'upstream': upstream,
        'attempt': row.attempt,
        'route': row.route.name,
        'object': row.object_key,
        'version': configuration.version if configuration else 0,
        'revision': world.upstreams.rows[upstream].revision,
        'load': round(loads.estimate(world, now_ms, upstream), 2),
        'load_age_ms': loads.report_age_ms(now_ms, load),
        'cold_for_ms': round(cold_for_ms),
        'work_time': round(load.work_time_ratio, 2),
        'abroad': round(remote_share.get(world, row.service).share, 3),
        'stopping_ms': stopping.elapsed_ms(world, now_ms),
    }
    return out.LogDecision(
        row.request_id, row.name, 'sent', inputs, is_routine=not cold_for_ms
    )


def finish(
    world: world_module.World, now_ms: float, result: inp.AttemptDone
) -> abc.Iterator[out.Output]:
    """Process the end of an attempt: relay its answer, retry or refuse."""
    row = world.requests.rows.get(result.request_id)
    if row is None or row.attempt != result.attempt or row.upstream is None:
        return
    if row.upstream in world.upstreams.rows:
        loads.record_end(world, now_ms, row.upstream, row.route.name, result)
    if row.is_abandoned:
        completion.remove_row(world, row.request_id)
    else:
        yield from _relay_or_retry(world, now_ms, row, result)
    yield from wait_queue.send_waiting(world, now_ms, row.service)


def _relay_or_retry(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    result: inp.AttemptDone,
) -> abc.Iterator[out.Output]:
    match result.outcome:
        case verdict.Answered(status):
            if _is_upstream_fault(world, row, status):
                row = row._replace(worst_verdict=verdict.Verdict.MAY_HAVE_RUN)
                if _may_retry(world, now_ms, row):
                    yield from _retry(world, now_ms, row, result)
                    return
            yield from completion.relay(world, now_ms, row, status)
            return
        case verdict.Unsendable(detail):
            refusal = verdict.Refusal(
                verdict.Verdict.NOT_RUN, verdict.Reason.BAD_REQUEST, detail
            )
            yield from completion.refuse(world, now_ms, row, refusal)
            return
        case verdict.NotSent() if not result.misdirected:
            row = row._replace(send_count=row.send_count - 1)
        case verdict.Lost():
            row = row._replace(worst_verdict=verdict.Verdict.MAY_HAVE_RUN)
    world.requests.rows[row.request_id] = row
    if _may_retry(world, now_ms, row):
        yield from _retry(world, now_ms, row, result)
        return
    yield from completion.give_up(world, now_ms, row, result.outcome)


def _is_upstream_fault(
    world: world_module.World, row: models.RequestRow, status: int
) -> bool:
    """Return whether a server error is due to the upstream.

    A faulty request fails at any upstream, so that only the error of an
    upstream that fails often or is slow is worth a retry elsewhere.
    """
    if status < 500 or not row.route.idempotent or row.upstream is None:
        return False
    return loads.is_suspect(world, row.upstream)


def _may_retry(
    world: world_module.World, now_ms: float, row: models.RequestRow
) -> bool:
    is_repeatable = (
        row.worst_verdict is verdict.Verdict.NOT_RUN or row.route.idempotent
    )
    if not is_repeatable or row.attempt >= const.ATTEMPTS_MAX:
        return False
    if row.send_count >= row.route.attempts_max:
        return False
    time_min_ms = const.RETRY_TIME_SHARE_OF_TARGET * row.route.target_ms
    if row.deadline_ms - now_ms <= time_min_ms:
        return False
    if not stopping.may_finish(world, now_ms, row.route, row.deadline_ms):
        return False
    return row.send_count == 0 or retry_budget.may_retry(
        world, now_ms, row.service
    )


def _retry(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    result: inp.AttemptDone,
) -> abc.Iterator[out.Output]:
    world.counters['requests.retried'] += 1
    yield out.LogDecision(
        row.request_id,
        row.name,
        'retried',
        {
            'upstream': row.upstream,
            'attempt': row.attempt,
            'outcome': str(result.outcome),
            'left_ms': round(row.deadline_ms - now_ms),
        },
    )
    row = row._replace(phase=models.Phase.WAITING)
    world.requests.rows[row.request_id] = row
    yield from send_or_queue(world, now_ms, row)
