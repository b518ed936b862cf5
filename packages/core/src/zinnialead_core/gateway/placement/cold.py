"""Keep what cold upstreams get below their rate, over all entries."""

from zinnialead_core.gateway.entries import members as entries
from zinnialead_core.gateway import hashing
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids


def may_send(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> bool:
    """Return whether this entry may send an upstream one more now."""
    if not upstreams.is_cold(world, now_ms, upstream):
        return True
    if not _is_keeper(world, now_ms, upstream):
        return False
    sent = _last_second(world, now_ms, upstream)
    return len(sent) < _own_rate(world, upstream)


def sent(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> None:
    """Count a request that is sent to an upstream, if it is cold."""
    if upstreams.is_cold(world, now_ms, upstream):
        _last_second(world, now_ms, upstream).append(now_ms)


def _last_second(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> list[float]:
    times = world.placement.cold_sent.setdefault(upstream, [])
    times[:] = [x for x in times if now_ms - x < const.COLD_WINDOW_MS]
    return times


def _own_rate(world: world_module.World, upstream: ids.UpstreamId) -> int:
    known = routes.active_configuration(world)
    row = world.upstreams.rows[upstream]
    service = known.services.get(row.service) if known else None
    if service is None:
        return 1
    return max(1, int(service.cold_per_s / const.COLD_KEEPERS))


def _is_keeper(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> bool:
    """Return whether this entry is one of those that use the upstream.

    They stand in its own region; another region leaves it alone.
    """
    row = world.upstreams.rows[upstream]
    if world.node.regions.get(row.domain) != world.node.region:
        return False
    present = entries.present_in_region(world, now_ms)
    # The strong ones get the callers.
    ordered = sorted(
        present,
        key=lambda name: (
            -entries.speed(world, ids.EntryId(name)),
            hashing.weight(upstream, name),
        ),
    )
    keepers = ordered[: const.COLD_KEEPERS]
    return str(world.node.ref.entry) in keepers
