"""Limit the rate at which cold upstreams get requests from all entries."""

from zinnialead_core.gateway.entries import members
from zinnialead_core.gateway.entries import ranking
from zinnialead_core.gateway import hashing
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids


def may_send(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> bool:
    """Return whether this entry may send an upstream one more request."""
    if not upstreams.is_cold(world, now_ms, upstream):
        return True
    if not _is_sender(world, now_ms, upstream):
        return False
    send_times_ms = _recent_sends_ms(world, now_ms, upstream)
    return len(send_times_ms) < _rate_per_s(world, upstream)


def record_send(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> None:
    """Count a request that is sent to an upstream, if it is cold."""
    if upstreams.is_cold(world, now_ms, upstream):
        _recent_sends_ms(world, now_ms, upstream).append(now_ms)


def use_up(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> None:
    """Use up this second's rate of an upstream that has started again.

    Entries may have sent it requests before they learned that it is cold.
    """
    count = _rate_per_s(world, upstream)
    world.placement.cold_sends_ms[upstream] = [now_ms] * count


def _recent_sends_ms(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> list[float]:
    """Return the times of the sends in the window; drop older ones."""
    times_ms = world.placement.cold_sends_ms.setdefault(upstream, [])
    times_ms[:] = [x for x in times_ms if now_ms - x < const.COLD_WINDOW_MS]
    return times_ms


def _rate_per_s(world: world_module.World, upstream: ids.UpstreamId) -> int:
    """Return this entry's share of the rate that a cold upstream gets."""
    config = routes.active_configuration(world)
    row = world.upstreams.rows[upstream]
    service = config.services.get(row.service) if config else None
    if service is None:
        return 1
    return max(1, int(service.cold_per_s / const.COLD_SENDERS))


def _is_sender(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> bool:
    """Return whether this entry is one of those that use a cold upstream.

    Only entries of the upstream's own region send to it.
    """
    row = world.upstreams.rows[upstream]
    if world.node.regions.get(row.domain) != world.node.region:
        return False
    own_entry = world.node.ref.entry
    own_key = _sender_key(upstream, world.node.speed, own_entry)
    ahead = 0
    for peer in ranking.region_peers(world):
        # Callers are directed to the fastest entries.
        if peer.speed < world.node.speed:
            continue
        if _sender_key(upstream, peer.speed, peer.entry) > own_key:
            continue
        if members.is_silent(world, now_ms, peer):
            continue
        ahead += 1
        if ahead == const.COLD_SENDERS:
            return False
    return True


def _sender_key(
    upstream: ids.UpstreamId, speed: float, entry: ids.EntryId
) -> ranking.SortKey:
    return ranking.SortKey(-speed, hashing.stable_hash(upstream, entry))
