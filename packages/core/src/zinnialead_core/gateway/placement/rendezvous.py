"""Order upstreams by object with rendezvous hashing.

All entries derive the same order without communication.
"""

from collections import abc
import math

from zinnialead_core.gateway import hashing
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids

HASH_RANGE = float(1 << 64)


def order_upstreams(
    world: world_module.World, request: models.PlacementRequest
) -> models.UpstreamOrder:
    """Return the local and remote upstreams of an object, from the cache.

    An upstream that is removed moves only its own objects.
    """
    table = world.placement
    is_stale = table.orders_generation != world.upstreams.generation
    if is_stale or len(table.orders) >= const.ORDERS_MAX:
        table.orders.clear()
        table.orders_generation[:] = world.upstreams.generation
    key = (request.service, request.object_key, request.home_regions)
    order = table.orders.get(key)
    if order is None:
        order = _derive_order(world, request)
        table.orders[key] = order
    return order


def hash_fraction(text: str) -> float:
    """Return a number from 0 to 1 that depends on a text alone."""
    return float(hashing.stable_hash(text)) / HASH_RANGE


def by_weight(
    names: abc.Iterable[ids.UpstreamId], object_key: str
) -> tuple[ids.UpstreamId, ...]:
    """Return upstreams by their weight for an object, the highest first."""
    return tuple(
        sorted(
            names,
            key=lambda name: hashing.stable_hash(object_key, name),
            reverse=True,
        )
    )


def _derive_order(
    world: world_module.World, request: models.PlacementRequest
) -> models.UpstreamOrder:
    regions = world.node.regions
    names: dict[ids.RegionId, list[ids.UpstreamId]] = {}
    slots: dict[ids.RegionId, int] = {}
    for row in upstreams.usable(world, request.service):
        region = regions.get(row.domain)
        if region is None:
            continue
        if request.home_regions and region not in request.home_regions:
            continue
        names.setdefault(region, []).append(row.upstream)
        slots[region] = slots.get(region, 0) + row.slots
    key = request.object_key
    own_region = world.node.region
    local = by_weight(names.pop(own_region, ()), key)
    # All entries order a region's upstreams alike, so that an object from
    # another region reaches the upstream that has it cached already.
    ordered_regions = sorted(
        names,
        key=lambda region: _region_weight(key, region, slots[region]),
        reverse=True,
    )
    remote = tuple(by_weight(names[region], key) for region in ordered_regions)
    return models.UpstreamOrder(local, remote)


def _region_weight(key: str, region: ids.RegionId, slots: int) -> float:
    """Return a region's weight for an object.

    Weighted rendezvous hashing: a region has the highest weight for a share
    of the objects in proportion to its slots.
    """
    fraction = max(hash_fraction(f'region|{key}|{region}'), 1.0 / HASH_RANGE)
    return -slots / math.log(min(fraction, 1.0 - 1e-12))
