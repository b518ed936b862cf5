"""Track the registered upstreams and the drained domains."""

from collections import abc

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway.store import models as store_models
from zinnialead_core.gateway import timers
from zinnialead_core.gateway.upstreams import const
from zinnialead_core.gateway.upstreams import doubts
from zinnialead_core.gateway.upstreams import index
from zinnialead_core.gateway.upstreams import models
from zinnialead_core.gateway.upstreams import notices
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core.notices import pauses
from zinnialead_core import timer_table


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Keep ``upstreams`` in line with the store; reads ``store``."""
    for event in inputs:
        match event:
            case inp.UpstreamRegistered(row):
                yield from _apply_registration(world, now_ms, row)
            case inp.UpstreamDeregistered(upstream):
                yield from _apply_removal(world, now_ms, upstream)
            case inp.UpstreamsListed(rows, revision):
                yield from _apply_list(world, now_ms, rows, revision)
            case inp.UpstreamAnnounced():
                yield from notices.apply(world, event)
            case inp.StoreRestored():
                _forget_revisions(world)
                _extend_holds(world)
            case inp.DrainsListed(domains):
                yield from _apply_drain_list(world, now_ms, domains)
            case inp.DrainAdded(domain):
                yield from _add_drain(world, domain)
            case inp.DrainRemoved(domain):
                yield from _remove_drain(world, now_ms, domain)
            case inp.TimerDue(timers.DoubtEnd(upstream)):
                held_row = doubts.release(world, upstream)
                if held_row is not None:
                    yield from _apply_registration(world, now_ms, held_row)
            case inp.TimerDue(timers.DrainExpiry(domain)):
                yield from _expire_drain(world, now_ms, domain)
            case inp.TimerDue(timers.UpstreamExpiry(upstream)):
                yield from _expire(world, now_ms, upstream)


def usable(
    world: world_module.World, service: ids.ServiceId
) -> abc.Iterator[models.UpstreamRow]:
    """Yield the upstreams of a service that may get new requests.

    An upstream of a domain that no region has gets none.
    """
    table = world.upstreams
    for upstream in table.by_service.get(service, ()):
        row = table.rows[upstream]
        if row.leaving or row.domain in table.drained:
            continue
        if row.domain in world.node.regions:
            yield row


def is_cold(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> bool:
    """Return whether an upstream is limited to its service's cold rate.

    One that may have started again unnoticed is, too.
    """
    if upstream in world.health_checks.rows:
        return True
    return world.upstreams.cold_until_ms.get(upstream, 0.0) > now_ms


def cold_for_ms(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> float:
    """Return how long an upstream still counts as cold, 0 if it is warm."""
    until_ms = world.upstreams.cold_until_ms.get(upstream, 0.0)
    return max(0.0, until_ms - now_ms)


def set_cold(
    world: world_module.World,
    now_ms: float,
    upstream: ids.UpstreamId,
    cold_ms: float,
) -> None:
    """Treat an upstream as cold for at least ``cold_ms`` from now."""
    if cold_ms <= 0.0:
        return
    until_ms = world.upstreams.cold_until_ms.get(upstream, 0.0)
    world.upstreams.cold_until_ms[upstream] = max(until_ms, now_ms + cold_ms)


def _forget_revisions(world: world_module.World) -> None:
    """Let any registration that the restored store holds replace a row."""
    for upstream, row in world.upstreams.rows.items():
        world.upstreams.rows[upstream] = row._replace(revision=0)


def _extend_holds(world: world_module.World) -> None:
    """Hold what has been missing since before this restore as long again."""
    table = world.upstreams
    due_ms = store_models.renewed_by_ms(world.store)
    for upstream in table.expiring:
        table.expiring[upstream] = due_ms
        timer_table.start(
            world.timers, timers.UpstreamExpiry(upstream), due_ms
        )
    for domain in table.expiring_drains:
        timer_table.start(world.timers, timers.DrainExpiry(domain), due_ms)


def _apply_registration(
    world: world_module.World, now_ms: float, row: models.UpstreamRow
) -> abc.Iterator[out.Output]:
    table = world.upstreams
    previous = table.rows.get(row.upstream)
    if previous is not None and row.revision < previous.revision:
        return
    if doubts.is_doubtful(world, now_ms, row):
        doubts.hold(world, row)
        return
    doubts.release(world, row.upstream)
    known_run = previous or table.ended.get(row.upstream)
    if known_run is not None and _still_leaves(known_run, row):
        row = row._replace(leaving=True)
    if previous == row and row.upstream not in table.expiring:
        # The same change arrives from the store and from other entries.
        return
    table.expiring.pop(row.upstream, None)
    timer_table.stop(world.timers, timers.UpstreamExpiry(row.upstream))
    set_cold(world, now_ms, row.upstream, row.cold_ms)
    table.rows[row.upstream] = row
    table.generations[row.service] += 1
    if previous is None or previous.service != row.service:
        if previous is not None:
            index.remove(table, previous)
        index.add(table, row)
    if previous is not None and previous.born_ms != row.born_ms:
        world.loads.pop(row.upstream, None)
        pauses.forget(world.pauses, row.upstream)
        world.counters['upstreams.restarted'] += 1
        yield out.Notify(inp.UpstreamRestarted(row.upstream))
        yield _run_change(previous, row)
    if previous is None or previous.leaving != row.leaving:
        yield _state_change(row, 'known' if previous else 'unknown')


def _still_leaves(
    known_run: models.UpstreamRow | models.EndedRow, row: models.UpstreamRow
) -> bool:
    """Return whether a row is of a run that has announced to leave.

    Its answers may say so before the store does, and a store that was
    restored may show the run as it was before.
    """
    return known_run.leaving and known_run.born_ms == row.born_ms != 0


def _apply_removal(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> abc.Iterator[out.Output]:
    doubts.release(world, upstream)
    if upstream not in world.upstreams.rows:
        return
    if now_ms < store_models.hold_until_ms(world.store):
        _delay_removal(world, now_ms, upstream)
        return
    yield from _remove(world, now_ms, upstream, 'removed from the store')


def _apply_list(
    world: world_module.World,
    now_ms: float,
    rows: abc.Sequence[models.UpstreamRow],
    revision: int,
) -> abc.Iterator[out.Output]:
    for row in rows:
        yield from _apply_registration(world, now_ms, row)
    listed = {row.upstream for row in rows}
    for upstream in world.upstreams.doubtful.keys() - listed:
        doubts.release(world, upstream)
    for row in list(world.upstreams.rows.values()):
        if row.upstream not in listed and row.revision <= revision:
            yield from _apply_removal(world, now_ms, row.upstream)


def _delay_removal(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> None:
    if upstream not in world.upstreams.expiring:
        _hold(world, now_ms, upstream)


def _hold(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> None:
    hold_until_ms = store_models.hold_until_ms(world.store)
    due_ms = min(hold_until_ms, now_ms + const.EXPIRY_DELAY_MS)
    world.upstreams.expiring[upstream] = due_ms
    timer_table.start(world.timers, timers.UpstreamExpiry(upstream), due_ms)


def _expire(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> abc.Iterator[out.Output]:
    if upstream not in world.upstreams.expiring:
        return
    if now_ms < store_models.hold_until_ms(world.store):
        _hold(world, now_ms, upstream)
        return
    yield from _remove(world, now_ms, upstream, 'not registered again')


def _remove(
    world: world_module.World,
    now_ms: float,
    upstream: ids.UpstreamId,
    reason: str,
) -> abc.Iterator[out.Output]:
    table = world.upstreams
    table.expiring.pop(upstream, None)
    table.cold_until_ms.pop(upstream, None)
    row = table.rows.pop(upstream, None)
    if row is None:
        return
    doubts.record_end(world, now_ms, row)
    index.remove(table, row)
    yield out.Notify(inp.UpstreamRemoved(upstream))
    yield out.CloseIdleConnections(row.address)
    yield out.LogStateChange('upstreams', upstream, 'known', 'unknown', reason)


def _apply_drain_list(
    world: world_module.World,
    now_ms: float,
    domains: abc.Sequence[ids.DomainId],
) -> abc.Iterator[out.Output]:
    for domain in domains:
        yield from _add_drain(world, domain)
    for domain in world.upstreams.drained.difference(domains):
        hold_until_ms = store_models.renewed_by_ms(world.store)
        if domain in world.upstreams.expiring_drains:
            # After another outage it may still be written again.
            hold_until_ms = store_models.hold_until_ms(world.store)
        if now_ms < hold_until_ms:
            _delay_drain_expiry(world, now_ms, domain, hold_until_ms)
        else:
            yield from _remove_drain(world, now_ms, domain)


def _add_drain(
    world: world_module.World, domain: ids.DomainId
) -> abc.Iterator[out.Output]:
    _stop_drain_expiry(world, domain)
    if domain in world.upstreams.drained:
        return
    world.upstreams.drained.add(domain)
    index.start_generations(world.upstreams)
    yield out.LogStateChange(
        'upstreams', domain, 'in service', 'drained', 'store'
    )


def _delay_drain_expiry(
    world: world_module.World,
    now_ms: float,
    domain: ids.DomainId,
    hold_until_ms: float,
) -> None:
    world.upstreams.expiring_drains.add(domain)
    due_ms = min(hold_until_ms, now_ms + const.EXPIRY_DELAY_MS)
    timer_table.start(world.timers, timers.DrainExpiry(domain), due_ms)


def _expire_drain(
    world: world_module.World, now_ms: float, domain: ids.DomainId
) -> abc.Iterator[out.Output]:
    hold_until_ms = store_models.hold_until_ms(world.store)
    if now_ms < hold_until_ms:
        _delay_drain_expiry(world, now_ms, domain, hold_until_ms)
        return
    yield from _remove_drain(world, now_ms, domain)


def _stop_drain_expiry(
    world: world_module.World, domain: ids.DomainId
) -> None:
    world.upstreams.expiring_drains.discard(domain)
    timer_table.stop(world.timers, timers.DrainExpiry(domain))


def _remove_drain(
    world: world_module.World, now_ms: float, domain: ids.DomainId
) -> abc.Iterator[out.Output]:
    _stop_drain_expiry(world, domain)
    if domain not in world.upstreams.drained:
        return
    world.upstreams.drained.discard(domain)
    index.start_generations(world.upstreams)
    for row in world.upstreams.rows.values():
        if row.domain == domain:
            cold_ms = warm_up_ms(world, row.service)
            set_cold(world, now_ms, row.upstream, cold_ms)
    yield out.LogStateChange(
        'upstreams', domain, 'drained', 'in service', 'store'
    )


def _state_change(row: models.UpstreamRow, before: str) -> out.LogStateChange:
    after = 'leaving' if row.leaving else 'in service'
    return out.LogStateChange(
        'upstreams', row.upstream, before, after, _registration(row)
    )


def _run_change(
    previous: models.UpstreamRow, row: models.UpstreamRow
) -> out.LogStateChange:
    return out.LogStateChange(
        'upstreams',
        row.upstream,
        f'run {previous.born_ms}',
        f'run {row.born_ms}',
        _registration(row),
    )


def _registration(row: models.UpstreamRow) -> str:
    return f'revision {row.revision}, cold for {row.cold_ms:.0f} ms'


def warm_up_ms(world: world_module.World, service: ids.ServiceId) -> float:
    """Return how long an upstream of a service is assumed to stay cold."""
    configuration = routes.active_configuration(world)
    service_row = (
        configuration.services.get(service) if configuration else None
    )
    return service_row.warm_up_ms if service_row else const.COLD_AFTER_DRAIN_MS
