"""Learn upstreams and drained domains from the store."""

from collections import abc

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway.store import models as store_models
from zinnialead_core.gateway import timers
from zinnialead_core.gateway.upstreams import const
from zinnialead_core.gateway.upstreams import models
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core import timers as timer_table


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Keep ``upstreams`` as the store names them; reads ``store``."""
    for item in inputs:
        match item:
            case inp.UpstreamSeen(row):
                yield from _seen(world, now_ms, row)
            case inp.UpstreamGone(upstream):
                yield from _gone(world, now_ms, upstream)
            case inp.UpstreamsListed(rows, revision):
                yield from _listed(world, now_ms, rows, revision)
            case inp.DrainsListed(domains):
                yield from _drains(world, now_ms, domains)
            case inp.DrainSeen(domain):
                yield from _drain(world, domain)
            case inp.DrainGone(domain):
                yield from _undrain(world, now_ms, domain)
            case inp.TimerDue(timers.LapseDue(upstream)):
                yield from _lapsed(world, now_ms, upstream)


def usable(
    world: world_module.World, service: ids.ServiceId
) -> abc.Iterator[models.UpstreamRow]:
    """Yield the upstreams of a service that may get new work."""
    table = world.upstreams
    for upstream in table.by_service.get(service, ()):
        row = table.rows[upstream]
        if not row.leaving and row.domain not in table.drained:
            yield row


def is_cold(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> bool:
    """Return whether an upstream tolerates only its service's cold rate."""
    return world.upstreams.cold_until_ms.get(upstream, 0.0) > now_ms


def set_cold(
    world: world_module.World,
    now_ms: float,
    upstream: ids.UpstreamId,
    cold_ms: float,
) -> None:
    """Take an upstream for cold for ``cold_ms`` from now."""
    if cold_ms <= 0.0:
        return
    known = world.upstreams.cold_until_ms.get(upstream, 0.0)
    world.upstreams.cold_until_ms[upstream] = max(known, now_ms + cold_ms)


def _seen(
    world: world_module.World, now_ms: float, row: models.UpstreamRow
) -> abc.Iterator[out.Output]:
    table = world.upstreams
    known = table.rows.get(row.upstream)
    if known is not None and row.revision < known.revision:
        return
    if known == row and row.upstream not in table.missing:
        # The same change comes from the store and from other entries.
        return
    table.missing.pop(row.upstream, None)
    timer_table.stop(world.timers, timers.LapseDue(row.upstream))
    set_cold(world, now_ms, row.upstream, row.cold_ms)
    table.rows[row.upstream] = row
    table.changes[0] += 1
    if known is None or known.service != row.service:
        _index(table)
    if known is not None and known.born_ms != row.born_ms:
        world.loads.pop(row.upstream, None)
    if known is None or known.leaving != row.leaving:
        yield _log(row, 'known' if known else 'unknown')


def _gone(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> abc.Iterator[out.Output]:
    if upstream not in world.upstreams.rows:
        return
    if now_ms < store_models.settled_ms(world.store):
        _hold(world, now_ms, upstream)
        return
    yield from _forget(world, upstream, 'removed from the store')


def _listed(
    world: world_module.World,
    now_ms: float,
    rows: abc.Sequence[models.UpstreamRow],
    revision: int,
) -> abc.Iterator[out.Output]:
    for row in rows:
        yield from _seen(world, now_ms, row)
    named = {row.upstream for row in rows}
    for row in list(world.upstreams.rows.values()):
        if row.upstream not in named and row.revision <= revision:
            yield from _gone(world, now_ms, row.upstream)


def _hold(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> None:
    if upstream in world.upstreams.missing:
        return
    settled_ms = store_models.settled_ms(world.store)
    until_ms = min(settled_ms, now_ms + const.LAPSE_HOLD_MS)
    world.upstreams.missing[upstream] = until_ms
    timer_table.start(world.timers, timers.LapseDue(upstream), until_ms)


def _lapsed(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> abc.Iterator[out.Output]:
    if upstream not in world.upstreams.missing:
        return
    if not store_models.in_touch(world.store):
        later_ms = now_ms + const.LAPSE_HOLD_MS
        timer_table.start(world.timers, timers.LapseDue(upstream), later_ms)
        return
    yield from _forget(world, upstream, 'not registered again')


def _forget(
    world: world_module.World, upstream: ids.UpstreamId, reason: str
) -> abc.Iterator[out.Output]:
    table = world.upstreams
    table.missing.pop(upstream, None)
    table.cold_until_ms.pop(upstream, None)
    row = table.rows.pop(upstream, None)
    if row is None:
        return
    table.changes[0] += 1
    _index(table)
    yield out.Notify(inp.UpstreamDropped(upstream))
    yield out.DropUpstream(row.address)
    yield out.LogBelief('upstreams', upstream, 'known', 'unknown', reason)


def _index(table: models.UpstreamTable) -> None:
    by_service: dict[ids.ServiceId, list[ids.UpstreamId]] = {}
    for row in table.rows.values():
        by_service.setdefault(row.service, []).append(row.upstream)
    table.by_service.clear()
    for service, upstreams in by_service.items():
        table.by_service[service] = tuple(upstreams)


def _drains(
    world: world_module.World,
    now_ms: float,
    domains: abc.Sequence[ids.DomainId],
) -> abc.Iterator[out.Output]:
    for domain in domains:
        yield from _drain(world, domain)
    for domain in world.upstreams.drained.difference(domains):
        yield from _undrain(world, now_ms, domain)


def _drain(
    world: world_module.World, domain: ids.DomainId
) -> abc.Iterator[out.Output]:
    if domain in world.upstreams.drained:
        return
    world.upstreams.drained.add(domain)
    world.upstreams.changes[0] += 1
    yield out.LogBelief('upstreams', domain, 'in service', 'drained', 'store')


def _undrain(
    world: world_module.World, now_ms: float, domain: ids.DomainId
) -> abc.Iterator[out.Output]:
    if domain not in world.upstreams.drained:
        return
    world.upstreams.drained.discard(domain)
    world.upstreams.changes[0] += 1
    for row in world.upstreams.rows.values():
        if row.domain == domain:
            cold_ms = warm_up_ms(world, row.service)
            set_cold(world, now_ms, row.upstream, cold_ms)
    yield out.LogBelief('upstreams', domain, 'drained', 'in service', 'store')


def _log(row: models.UpstreamRow, before: str) -> out.LogBelief:
    after = 'leaving' if row.leaving else 'in service'
    return out.LogBelief(
        'upstreams',
        row.upstream,
        before,
        after,
        f'revision {row.revision}, cold for {row.cold_ms:.0f} ms',
    )


def warm_up_ms(world: world_module.World, service: ids.ServiceId) -> float:
    """Return how long an upstream of a service stays cold."""
    known = routes.active_configuration(world)
    row = known.services.get(service) if known else None
    return row.warm_up_ms if row else const.COLD_AFTER_DRAIN_MS
