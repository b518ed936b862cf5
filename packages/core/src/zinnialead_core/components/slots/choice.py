"""Choose the upstream of a grant and count the slots that can be used."""

from zinnialead_core.components.slots import local_config
from zinnialead_core.components.upstreams import capacity
from zinnialead_core import ids
from zinnialead_core import world as world_module


def pick(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    avoid: ids.UpstreamId | None,
) -> ids.UpstreamId | None:
    """Return the upstream with the most free slots, if one has any.

    ``avoid`` is taken only where no other has a slot.
    """
    here = local_config.get(world, service)
    limit = local_config.in_flight_max(world, now_ms, service)
    if _at_limit(world, service, limit):
        return None
    best: tuple[bool, int, ids.UpstreamId] | None = None
    for row in here.upstreams:
        health = world.upstreams.get(row.upstream)
        slots = capacity.usable_slots(health, row.slots, now_ms)
        free = slots - world.queues.in_use.get(row.upstream, 0)
        offer = (row.upstream != avoid, free, row.upstream)
        if free > 0 and (best is None or offer > best):
            best = offer
    return best[2] if best else None


def usable_slots(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> int:
    """Return how many slots of a service may be in use at once now."""
    here = local_config.get(world, service)
    total = sum(
        capacity.usable_slots(
            world.upstreams.get(row.upstream), row.slots, now_ms
        )
        for row in here.upstreams
    )
    limit = local_config.in_flight_max(world, now_ms, service)
    return total if limit is None else min(total, limit)


def all_slots(world: world_module.World, service: ids.ServiceId) -> int:
    """Return how many slots the state in force gives a service here."""
    here = local_config.get(world, service)
    total = sum(row.slots for row in here.upstreams)
    if here.in_flight_max is None:
        return total
    return min(total, here.in_flight_max)


def in_flight(world: world_module.World, service: ids.ServiceId) -> int:
    """Return how many slots of a service are in use here."""
    return sum(row.service == service for row in world.queues.grants.values())


def is_served(world: world_module.World, service: ids.ServiceId) -> bool:
    """Return whether any upstream here takes new work, now or soon."""
    return any(
        not capacity.is_leaving(world.upstreams.get(row.upstream))
        for row in local_config.get(world, service).upstreams
    )


def _at_limit(
    world: world_module.World,
    service: ids.ServiceId,
    in_flight_max: int | None,
) -> bool:
    if in_flight_max is None:
        return False
    return in_flight(world, service) >= in_flight_max
