"""Track upstreams that break the protocol."""

from collections import abc

from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids


def record(
    world: world_module.World,
    now_ms: float,
    address: str,
    fault: models.Fault,
) -> abc.Iterator[out.Output]:
    """Count a fault against the upstreams at an address."""
    for row in world.upstreams.rows.values():
        if row.address == address:
            yield from _record(world, now_ms, row.upstream, fault)


def expire(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Log the upstreams that have shown no fault for a while as sound."""
    for upstream, load in list(world.loads.items()):
        if 0.0 < load.faulty_until_ms <= now_ms:
            world.loads[upstream] = load._replace(faulty_until_ms=0.0)
            yield out.LogStateChange(
                'placement', upstream, 'faulty', 'sound', 'no more faults'
            )


def _record(
    world: world_module.World,
    now_ms: float,
    upstream: ids.UpstreamId,
    fault: models.Fault,
) -> abc.Iterator[out.Output]:
    if not loads.get(world, upstream).faulty_until_ms:
        yield out.LogStateChange(
            'placement', upstream, 'sound', 'faulty', str(fault)
        )
    match fault:
        case models.StrayAnswer():
            world.counters['upstreams.stray_answers'] += 1
            loads.record_stray(world, upstream)
        case models.StrayBytes():
            world.counters['upstreams.stray_bytes'] += 1
            loads.record_stray(world, upstream)
        case models.MalformedAnswer():
            world.counters['upstreams.malformed_answers'] += 1
            loads.eject(world, now_ms, upstream)
        case models.EndlessAnswer():
            world.counters['upstreams.endless_answers'] += 1
            loads.eject(world, now_ms, upstream)
    load = loads.get(world, upstream)
    world.loads[upstream] = load._replace(
        faulty_until_ms=now_ms + const.FAULTY_MS
    )
