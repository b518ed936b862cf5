"""Estimate the load that a region's other entries put on its upstreams.

An upstream reports its load only in its answers, which come late where work
takes long.  Until then other entries are expected to send it as much as this
one does, in proportion to their callers.
"""

from zinnialead_core.gateway.entries import members
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.placement import rendezvous
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids


def update(world: world_module.World, now_ms: float) -> None:
    """Update the expected loads of the services that this entry uses."""
    traffic_ratio = members.peer_traffic_ratio(world, now_ms)
    for service in world.placement.remote_shares:
        previous = world.placement.peer_loads.get(service)
        latest = _mean_in_flight(world, service)
        mean = previous.mean_in_flight if previous else latest
        world.placement.peer_loads[service] = models.PeerLoadRow(
            mean + const.IN_FLIGHT_WEIGHT * (latest - mean), traffic_ratio
        )


def expected(
    world: world_module.World,
    service: ids.ServiceId,
    domain: ids.DomainId,
    in_flight: int,
) -> float:
    """Return how many requests of other entries an upstream should have.

    ``in_flight`` is the number of this entry's.  How much of the work an
    upstream gets is taken as exponentially distributed, so that few requests
    by chance weigh little.
    """
    row = world.placement.peer_loads.get(service)
    if row is None or world.node.regions.get(domain) != world.node.region:
        return 0.0
    mean = row.mean_in_flight
    return row.traffic_ratio * mean * (1.0 + in_flight) / (1.0 + mean)


def _mean_in_flight(
    world: world_module.World, service: ids.ServiceId
) -> float:
    """Return this entry's mean number of requests at a local upstream."""
    regions = rendezvous.service_row(world, service).regions
    row = regions.get(world.node.region)
    if row is None:
        return 0.0
    found = (world.loads.get(upstream) for upstream in row.upstreams)
    total = sum(load.in_flight for load in found if load is not None)
    return total / len(row.upstreams)
