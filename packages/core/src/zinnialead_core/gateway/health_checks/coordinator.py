"""Check the upstreams that have closed or refused a connection.

An upstream that starts again under its id accepts requests at once, but its
registration may come seconds later.
"""

from collections import abc

from zinnialead_core.gateway.health_checks import const
from zinnialead_core.gateway.health_checks import models
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway import timers
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core.gateway.upstreams import models as upstream_models
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core.notices import pauses
from zinnialead_core import timer_table


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Check upstreams that ended a connection; writes ``health_checks``.

    Reads ``upstreams``, ``routes`` and ``pauses``.
    """
    for event in inputs:
        match event:
            case inp.UpstreamDisconnected(address, cause):
                yield from _begin_all(world, now_ms, address, cause)
            case inp.TimerDue(timers.HealthCheckDue(upstream)):
                yield from _check(world, now_ms, upstream)
            case inp.HealthChecked(upstream, result):
                yield from _apply(world, now_ms, upstream, result)
            case inp.UpstreamRestarted(upstream):
                _end(world, upstream)
            case inp.UpstreamRemoved(upstream):
                _end(world, upstream)
                world.health_checks.used.discard(upstream)


def check_first_use(
    world: world_module.World,
    now_ms: float,
    row: upstream_models.UpstreamRow,
) -> abc.Iterator[out.Output]:
    """Check an upstream that this entry begins to use, beside its request.

    An entry that has just started has seen no connection end, and what it
    read of the upstream may be of an earlier run.
    """
    used = world.health_checks.used
    if world.node.first_start or row.upstream in used:
        return
    used.add(row.upstream)
    is_cold = upstreams.is_cold(world, now_ms, row.upstream)
    if not is_cold and _health_path(world, row.service):
        yield from _begin(world, now_ms, row, 'not used before')


def _begin_all(
    world: world_module.World, now_ms: float, address: str, cause: str
) -> abc.Iterator[out.Output]:
    """Check the upstreams at an address, unless they leave anyway."""
    for row in list(world.upstreams.rows.values()):
        if row.address != address or row.leaving:
            continue
        # A drained domain's upstreams return cold in any case.
        if row.domain not in world.upstreams.drained:
            yield from _begin(world, now_ms, row, cause)


def _begin(
    world: world_module.World,
    now_ms: float,
    row: upstream_models.UpstreamRow,
    cause: str,
) -> abc.Iterator[out.Output]:
    if row.upstream in world.health_checks.rows:
        return
    if not _health_path(world, row.service):
        warm_up_ms = upstreams.warm_up_ms(world, row.service)
        upstreams.set_cold(world, now_ms, row.upstream, warm_up_ms)
        return
    world.health_checks.rows[row.upstream] = models.CheckRow()
    yield _log(row.upstream, 'confirmed', 'unconfirmed', cause)
    yield from _check(world, now_ms, row.upstream)


def _check(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> abc.Iterator[out.Output]:
    row = world.upstreams.rows.get(upstream)
    if row is None or upstream not in world.health_checks.rows:
        return
    if row.leaving:
        _end(world, upstream)
        return
    path = _health_path(world, row.service)
    is_paused = pauses.is_paused(world.pauses, now_ms, upstream)
    is_drained = row.domain in world.upstreams.drained
    if not path or is_paused or is_drained:
        # One that wants no requests wants no checks either.
        _retry_later(world, now_ms, upstream)
        return
    world.counters['health_checks.sent'] += 1
    yield out.CheckHealth(upstream, row.address, path)


def _apply(
    world: world_module.World,
    now_ms: float,
    upstream: ids.UpstreamId,
    result: models.Result,
) -> abc.Iterator[out.Output]:
    check = world.health_checks.rows.get(upstream)
    row = world.upstreams.rows.get(upstream)
    if check is None or row is None:
        return
    match result:
        case models.Answered(cold_ms):
            world.counters['health_checks.answered'] += 1
            cold_ms = min(cold_ms, const.COLD_MAX_MS)
            upstreams.set_cold(world, now_ms, upstream, cold_ms)
            cause = f'cold for {cold_ms:.0f} ms'
            yield from _confirm(world, upstream, cause)
        case models.Unclear(detail):
            world.counters['health_checks.unclear'] += 1
            since_ms = check.answered_ms
            since_ms = now_ms if since_ms is None else since_ms
            warm_up_ms = upstreams.warm_up_ms(world, row.service)
            if now_ms >= since_ms + warm_up_ms:
                yield from _confirm(world, upstream, f'warm by now: {detail}')
                return
            check = check._replace(answered_ms=since_ms)
            world.health_checks.rows[upstream] = check
            _retry_later(world, now_ms, upstream)
        case models.Unreachable() | models.Misdirected():
            world.counters['health_checks.failed'] += 1
            _retry_later(world, now_ms, upstream)


def _confirm(
    world: world_module.World, upstream: ids.UpstreamId, cause: str
) -> abc.Iterator[out.Output]:
    _end(world, upstream)
    yield _log(upstream, 'unconfirmed', 'confirmed', cause)


def _end(world: world_module.World, upstream: ids.UpstreamId) -> None:
    world.health_checks.rows.pop(upstream, None)
    timer_table.stop(world.timers, timers.HealthCheckDue(upstream))


def _retry_later(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> None:
    check = world.health_checks.rows[upstream]
    pause_ms = min(
        const.RETRY_MAX_MS, const.RETRY_MIN_MS * 2 ** min(check.failures, 8)
    )
    check = check._replace(failures=check.failures + 1)
    world.health_checks.rows[upstream] = check
    timer = timers.HealthCheckDue(upstream)
    timer_table.start(world.timers, timer, now_ms + pause_ms)


def _health_path(world: world_module.World, service: ids.ServiceId) -> str:
    """Return the path of a service's health checks, empty if unknown."""
    configuration = routes.active_configuration(world)
    row = configuration.services.get(service) if configuration else None
    return row.health_path if row else ''


def _log(
    upstream: ids.UpstreamId, before: str, after: str, cause: str
) -> out.LogStateChange:
    return out.LogStateChange('health_checks', upstream, before, after, cause)
