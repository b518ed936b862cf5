"""Select upstreams with free slots and count a service's slots."""

from zinnialead_core.components.slots import local_config
from zinnialead_core.components import tickets
from zinnialead_core.components.upstreams import capacity
from zinnialead_core import ids
from zinnialead_core.notices import pauses
from zinnialead_core import world as world_module


def select_upstream(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    avoid: ids.UpstreamId | None,
) -> ids.UpstreamId | None:
    """Return the upstream with the most free slots, None if all are full.

    ``avoid`` is selected only if no other upstream has a free slot.
    """
    local = local_config.get(world, service)
    limit = local_config.in_flight_max(world, now_ms, service)
    if _is_at_limit(world, service, limit):
        return None
    best: tuple[bool, int, ids.UpstreamId] | None = None
    for row in local.upstreams:
        slots = _usable_slots_of(world, now_ms, row)
        free_slots = slots - world.queues.in_use.get(row.upstream, 0)
        candidate = (row.upstream != avoid, free_slots, row.upstream)
        if free_slots > 0 and (best is None or candidate > best):
            best = candidate
    return best[2] if best else None


def usable_slots(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> int:
    """Return how many slots of a service may currently be in use."""
    local = local_config.get(world, service)
    total = sum(
        _usable_slots_of(world, now_ms, row) for row in local.upstreams
    )
    limit = local_config.in_flight_max(world, now_ms, service)
    return total if limit is None else min(total, limit)


def configured_slots(world: world_module.World, service: ids.ServiceId) -> int:
    """Return how many slots a service has here in the state in force."""
    local = local_config.get(world, service)
    total = sum(row.slots for row in local.upstreams)
    if local.in_flight_max is None:
        return total
    return min(total, local.in_flight_max)


def in_flight(world: world_module.World, service: ids.ServiceId) -> int:
    """Return how many slots of a service are in use in this domain."""
    return sum(row.service == service for row in world.queues.grants.values())


def has_upstream(world: world_module.World, service: ids.ServiceId) -> bool:
    """Return whether an upstream here accepts work now or will soon."""
    return any(
        not capacity.is_leaving(world.upstreams.get(row.upstream))
        for row in local_config.get(world, service).upstreams
    )


def pause_left_ms(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> float:
    """Return how long all upstreams here that stay still pause, or 0."""
    return min(
        (
            pauses.left_ms(world.pauses, now_ms, row.upstream)
            for row in local_config.get(world, service).upstreams
            if not capacity.is_leaving(world.upstreams.get(row.upstream))
        ),
        default=0.0,
    )


def _usable_slots_of(
    world: world_module.World, now_ms: float, row: tickets.UpstreamRow
) -> int:
    if pauses.is_paused(world.pauses, now_ms, row.upstream):
        return 0
    health = world.upstreams.get(row.upstream)
    return capacity.usable_slots(health, row.slots, now_ms)


def _is_at_limit(
    world: world_module.World,
    service: ids.ServiceId,
    in_flight_max: int | None,
) -> bool:
    if in_flight_max is None:
        return False
    return in_flight(world, service) >= in_flight_max
