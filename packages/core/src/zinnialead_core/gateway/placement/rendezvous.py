"""Order upstreams by object with rendezvous hashing.

All entries derive the same order without communication.
"""

import collections
from collections import abc
import math

from zinnialead_core.gateway import hashing
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids

HASH_RANGE = float(1 << 64)


def service_row(
    world: world_module.World, service: ids.ServiceId
) -> models.ServiceRow:
    """Return what is derived from a service's usable upstreams."""
    table = world.placement.services
    generation = world.upstreams.generations[service]
    domains = world.node.regions
    row = table.get(service)
    if (
        row is None
        or row.generation != generation
        or row.domains is not domains
    ):
        regions = {x.region: x for x in _regions(world, service)}
        row = models.ServiceRow(generation, domains, regions, {})
        table[service] = row
    return row


def order_regions(
    world: world_module.World, request: models.PlacementRequest
) -> list[ids.RegionId]:
    """Return the regions that may serve a request, the preferred first.

    This entry's own region comes first, also without upstreams.
    """
    own_region = world.node.region
    key = request.object_key
    found = service_row(world, request.service).regions
    remote = [
        region
        for region in found
        if region != own_region and _is_home(request, region)
    ]
    # All entries order a region's upstreams alike, so that an object from
    # another region reaches the upstream that has it cached already.
    remote.sort(
        key=lambda region: _region_weight(key, region, found[region].slots),
        reverse=True,
    )
    return [own_region, *remote]


def group(
    world: world_module.World,
    request: models.PlacementRequest,
    region: ids.RegionId,
) -> abc.Sequence[ids.UpstreamId]:
    """Return a region's upstreams for a request, the preferred first.

    An upstream that is removed moves only its own objects.
    """
    if not _is_home(request, region):
        return ()
    row = service_row(world, request.service)
    key = (region, request.object_key)
    names = row.groups.get(key)
    if names is None:
        if len(row.groups) >= const.GROUPS_MAX:
            row.groups.clear()
        region_row = row.regions.get(region)
        upstream_names = region_row.upstreams if region_row else ()
        names = by_weight(upstream_names, request.object_key)
        row.groups[key] = names
    return names


def order_upstreams(
    world: world_module.World, request: models.PlacementRequest
) -> models.UpstreamOrder:
    """Return the local and remote upstreams of a request."""
    local, *remote = (
        group(world, request, region)
        for region in order_regions(world, request)
    )
    return models.UpstreamOrder(tuple(local), tuple(map(tuple, remote)))


def hash_fraction(text: str) -> float:
    """Return a number from 0 to 1 that depends on a text alone."""
    return float(hashing.stable_hash(text)) / HASH_RANGE


def by_weight(
    names: abc.Iterable[ids.UpstreamId], object_key: str
) -> abc.Sequence[ids.UpstreamId]:
    """Return upstreams by their weight for an object, the highest first."""
    return tuple(
        sorted(
            names,
            key=lambda name: hashing.stable_hash(object_key, name),
            reverse=True,
        )
    )


def _regions(
    world: world_module.World, service: ids.ServiceId
) -> abc.Iterator[models.RegionRow]:
    """Yield a service's usable upstreams by region."""
    names: dict[ids.RegionId, list[ids.UpstreamId]] = {}
    slots: collections.Counter[ids.RegionId] = collections.Counter()
    for row in upstreams.usable(world, service):
        region = world.node.regions[row.domain]
        names.setdefault(region, []).append(row.upstream)
        slots[region] += row.slots
    for region, found in names.items():
        yield models.RegionRow(region, tuple(found), slots[region])


def _is_home(request: models.PlacementRequest, region: ids.RegionId) -> bool:
    return not request.home_regions or region in request.home_regions


def _region_weight(key: str, region: ids.RegionId, slots: int) -> float:
    """Return a region's weight for an object.

    Weighted rendezvous hashing: a region has the highest weight for a share
    of the objects in proportion to its slots.
    """
    fraction = max(hash_fraction(f'region|{key}|{region}'), 1.0 / HASH_RANGE)
    return -slots / math.log(min(fraction, 1.0 - 1e-12))
