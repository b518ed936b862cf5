"""Order upstreams by object, alike on every entry."""

from collections import abc
import math

from zinnialead_core.gateway import hashing
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids

SCALE = float(1 << 64)


def of_object(
    world: world_module.World, wanted: models.PlacementRequest
) -> models.Order:
    """Return the near and the far upstreams of an object, in its order.

    Rendezvous hashing: an upstream that goes moves only its own objects.
    """
    table = world.placement
    is_old = table.orders_as_of != world.upstreams.changes
    if is_old or len(table.orders) >= const.ORDERS_MAX:
        table.orders.clear()
        table.orders_as_of[:] = world.upstreams.changes
    key = (wanted.service, wanted.object_key, wanted.home_regions)
    known = table.orders.get(key)
    if known is None:
        known = _work_out(world, wanted)
        table.orders[key] = known
    return known


def share_of(text: str) -> float:
    """Return a number from 0 to 1 that depends on a text alone."""
    return float(hashing.weight(text)) / SCALE


def by_weight(
    names: abc.Iterable[ids.UpstreamId], object_key: str
) -> tuple[ids.UpstreamId, ...]:
    """Return upstreams by their weight for an object, the highest first."""
    return tuple(
        sorted(
            names,
            key=lambda name: hashing.weight(object_key, name),
            reverse=True,
        )
    )


def _work_out(
    world: world_module.World, wanted: models.PlacementRequest
) -> models.Order:
    regions = world.node.regions
    names: dict[ids.RegionId, list[ids.UpstreamId]] = {}
    slots: dict[ids.RegionId, int] = {}
    for row in upstreams.usable(world, wanted.service):
        region = regions.get(row.domain)
        if region is None:
            continue
        if wanted.home_regions and region not in wanted.home_regions:
            continue
        names.setdefault(region, []).append(row.upstream)
        slots[region] = slots.get(region, 0) + row.slots
    key = wanted.object_key
    home = world.node.region
    near = by_weight(names.pop(home, ()), key)
    # Each region orders its own upstreams alike, so that an object that
    # comes from abroad finds the upstream that already remembers it.
    ranked = sorted(
        names,
        key=lambda region: _region_weight(key, region, slots[region]),
        reverse=True,
    )
    far = tuple(by_weight(names[region], key) for region in ranked)
    return models.Order(near, far)


def _region_weight(key: str, region: ids.RegionId, slots: int) -> float:
    """Return a region's weight for an object, in proportion to its slots.

    Weighted rendezvous hashing.
    """
    share = max(share_of(f'region|{key}|{region}'), 1.0 / SCALE)
    return -slots / math.log(min(share, 1.0 - 1e-12))
