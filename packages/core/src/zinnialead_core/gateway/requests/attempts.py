"""Make attempts at upstreams and take in how they ended."""

from collections import abc

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.placement import abroad
from zinnialead_core.gateway.placement import cold
from zinnialead_core.gateway.placement import coordinator as placement
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models as placement_models
from zinnialead_core.gateway.requests import budget
from zinnialead_core.gateway.requests import const
from zinnialead_core.gateway.requests import endings
from zinnialead_core.gateway.requests import models
from zinnialead_core.gateway.requests import waiting
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core import verdict


def place(
    world: world_module.World, now_ms: float, row: models.RequestRow
) -> abc.Iterator[out.Output]:
    """Send a request to an upstream with room, or let it wait."""
    if row.attempt == 0:
        abroad.earn(world, row.service)
    upstream = choose(world, now_ms, row)
    if upstream is None:
        yield from waiting.join(world, now_ms, row)
        return
    yield from send(world, now_ms, row, upstream)


def choose(
    world: world_module.World, now_ms: float, row: models.RequestRow
) -> ids.UpstreamId | None:
    """Return the upstream that a request's next attempt goes to."""
    wanted = placement_models.PlacementRequest(
        row.service,
        row.object_key,
        row.route.rank,
        row.route.home_regions,
        row.tried,
    )
    return placement.choose(world, now_ms, wanted)


def send(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    upstream: ids.UpstreamId,
) -> abc.Iterator[out.Output]:
    """Begin an attempt at an upstream."""
    known = world.upstreams.rows[upstream]
    waiting.leave(world, row)
    loads.started(world, upstream)
    cold.sent(world, now_ms, upstream)
    if row.sends:
        budget.repeated(world, now_ms, row.service)
    row = row._replace(
        phase=models.Phase.UPSTREAM,
        attempt=row.attempt + 1,
        sends=row.sends + 1,
        upstream=upstream,
        tried=(*row.tried, upstream),
    )
    world.requests.rows[row.request_id] = row
    world.counters['requests.sent'] += 1
    yield _log_sent(world, now_ms, row, upstream)
    idle_ms = const.IDLE_ANY_MS if row.route.idempotent else const.IDLE_ONCE_MS
    yield out.Dispatch(
        row.request_id,
        row.attempt,
        upstream,
        known.address,
        row.deadline_ms - now_ms,
        idle_ms,
    )


def _log_sent(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    upstream: ids.UpstreamId,
) -> out.LogDecision:
    load = loads.of(world, upstream)
    known = routes.active_configuration(world)
    inputs: dict[str, str | float | int | None] = {
        'upstream': upstream,
        'attempt': row.attempt,
        'route': row.route.name,
        'object': row.object_key,
        'version': known.version if known else 0,
        'revision': world.upstreams.rows[upstream].revision,
        'load': round(loads.believed(world, now_ms, upstream), 2),
        'load_age_ms': round(now_ms - load.told_ms),
        'abroad': round(abroad.of(world, row.service).share, 3),
    }
    return out.LogDecision(
        row.request_id, row.name, 'sent', inputs, is_routine=True
    )


def done(
    world: world_module.World, now_ms: float, item: inp.AttemptDone
) -> abc.Iterator[out.Output]:
    """Relay an attempt's answer, try again, or give up."""
    row = world.requests.rows.get(item.request_id)
    if row is None or row.attempt != item.attempt or row.upstream is None:
        return
    if row.upstream in world.upstreams.rows:
        loads.ended(world, now_ms, row.upstream, row.route.name, item)
    if row.answered:
        endings.forget(world, row.request_id)
    else:
        yield from _next(world, now_ms, row, item)
    yield from waiting.wake(world, now_ms, row.service)


def _next(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    item: inp.AttemptDone,
) -> abc.Iterator[out.Output]:
    match item.outcome:
        case verdict.Answered(status):
            if _is_faulty(world, row, status):
                row = row._replace(worst=verdict.Verdict.MAY_HAVE_RUN)
                if _may_retry(world, now_ms, row):
                    yield from _retry(world, now_ms, row, item)
                    return
            yield from endings.relay(world, now_ms, row, status)
            return
        case verdict.NotSent() if not item.misdirected:
            row = row._replace(sends=row.sends - 1)
        case verdict.Lost():
            row = row._replace(worst=verdict.Verdict.MAY_HAVE_RUN)
    world.requests.rows[row.request_id] = row
    if _may_retry(world, now_ms, row):
        yield from _retry(world, now_ms, row, item)
        return
    yield from endings.give_up(world, now_ms, row, item.outcome)


def _is_faulty(
    world: world_module.World, row: models.RequestRow, status: int
) -> bool:
    """Return whether a failure is the upstream's rather than the work's.

    Work that fails fails anywhere; only an upstream that fails more than
    others is worth a second send.
    """
    if status < 500 or not row.route.idempotent or row.upstream is None:
        return False
    return loads.is_suspect(world, row.upstream)


def _may_retry(
    world: world_module.World, now_ms: float, row: models.RequestRow
) -> bool:
    may_repeat = row.worst is verdict.Verdict.NOT_RUN or row.route.idempotent
    if not may_repeat or row.attempt >= const.CONNECTS_MAX:
        return False
    if row.sends >= row.route.attempts_max:
        return False
    useful_ms = const.USEFUL_SHARE_OF_TARGET * row.route.target_ms
    if row.deadline_ms - now_ms <= useful_ms:
        return False
    return row.sends == 0 or budget.may_repeat(world, now_ms, row.service)


def _retry(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    item: inp.AttemptDone,
) -> abc.Iterator[out.Output]:
    world.counters['requests.retried'] += 1
    yield out.LogDecision(
        row.request_id,
        row.name,
        'retried',
        {
            'upstream': row.upstream,
            'attempt': row.attempt,
            'outcome': str(item.outcome),
            'left_ms': round(row.deadline_ms - now_ms),
        },
    )
    row = row._replace(phase=models.Phase.WAITING)
    world.requests.rows[row.request_id] = row
    yield from place(world, now_ms, row)
