"""Order upstreams by object, alike on every entry."""

from collections import abc

from zinnialead_core.gateway import hashing
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids

SCALE = float(1 << 64)


def of_object(
    world: world_module.World, wanted: models.Wanted
) -> models.Order:
    """Return the near and the far upstreams of an object, in its order.

    Rendezvous hashing: an upstream that goes moves only its own objects.
    """
    key = (wanted.service, wanted.object_key, wanted.home_regions)
    known = world.placement.orders.get(key)
    if known is None:
        if len(world.placement.orders) >= const.ORDERS_MAX:
            world.placement.orders.clear()
        known = _work_out(world, wanted)
        world.placement.orders[key] = known
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
    world: world_module.World, wanted: models.Wanted
) -> models.Order:
    regions = world.node.regions
    near: list[ids.UpstreamId] = []
    far: list[ids.UpstreamId] = []
    for row in upstreams.usable(world, wanted.service):
        region = regions.get(row.domain)
        if wanted.home_regions and region not in wanted.home_regions:
            continue
        (near if region == world.node.region else far).append(row.upstream)
    return (
        by_weight(near, wanted.object_key),
        by_weight(far, wanted.object_key),
    )
