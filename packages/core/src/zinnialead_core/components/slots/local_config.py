"""Derive the local upstreams and limits of services from the state."""

from collections import abc
import math

from zinnialead_core.components.slots import models
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import world as world_module


def get(
    world: world_module.World, service: ids.ServiceId
) -> models.LocalConfigRow:
    """Return a service's upstreams and in-flight limit in this domain."""
    state = world.states['in-force']
    queues = world.queues
    _refresh(world)
    if service not in queues.local_configs:
        queues.local_configs[service] = _build_row(world, state, service)
    return queues.local_configs[service]


def update_previous_limits(world: world_module.World, now_ms: float) -> None:
    """Keep limits from before a ticket until work under them has ended.

    If this domain's share of a region limit grew at once, its work would
    add to what other domains still have in flight under their old shares.
    """
    _refresh(world)
    previous_limits = world.queues.previous_limits
    for service, rows in list(previous_limits.items()):
        service_row = world.states['in-force'].services.get(service)
        longest_ms = service_row.deadline_max_ms if service_row else 0.0
        expiring = (_with_expiry(row, now_ms + longest_ms) for row in rows)
        previous_limits[service] = tuple(
            previous for previous in expiring if now_ms < previous.until_ms
        )
        if not previous_limits[service]:
            del previous_limits[service]


def in_flight_max(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> int | None:
    """Return the current in-flight limit of a service in this domain.

    It is the lowest of the current and previous limits.
    """
    current = get(world, service).in_flight_max
    if current is None:
        return None
    rows = world.queues.previous_limits.get(service, ())
    previous = (row.in_flight_max for row in rows if now_ms < row.until_ms)
    return min((current, *previous))


def _refresh(world: world_module.World) -> None:
    queues = world.queues
    state_number = world.states['in-force'].number
    if queues.state_numbers[0] == state_number:
        return
    _keep_limits(world)
    queues.local_configs.clear()
    queues.state_numbers[0] = state_number


def _keep_limits(world: world_module.World) -> None:
    # update_previous_limits() sets the expiry, as the time is known there.
    previous_limits = world.queues.previous_limits
    for service, row in world.queues.local_configs.items():
        if row.in_flight_max is not None:
            previous = models.PreviousLimitRow(row.in_flight_max, math.inf)
            previous_limits[service] = (
                *previous_limits.get(service, ()),
                previous,
            )


def _with_expiry(
    row: models.PreviousLimitRow, until_ms: float
) -> models.PreviousLimitRow:
    if math.isinf(row.until_ms):
        return row._replace(until_ms=until_ms)
    return row


def in_flight_share(
    world: world_module.World, service: ids.ServiceId
) -> int | None:
    """Return this domain's share of a region's limit for a service.

    The limit is split in proportion to the undrained slots of each domain
    in the region, and the shares add up to it exactly.
    """
    state = world.states['in-force']
    limit = _region_limit(world, state, service)
    if limit is None:
        return None
    own_domain = world.node.domain
    slots_before = own_slots = total_slots = 0
    for row in _undrained_upstreams(state, service):
        domain = state.domains.get(row.domain)
        if domain is None or domain.region != limit.region:
            continue
        total_slots += row.slots
        slots_before += row.slots if row.domain < own_domain else 0
        own_slots += row.slots if row.domain == own_domain else 0
    if total_slots == 0:
        return 0
    through_own = limit.in_flight * (slots_before + own_slots) // total_slots
    return through_own - limit.in_flight * slots_before // total_slots


def _build_row(
    world: world_module.World, state: tickets.State, service: ids.ServiceId
) -> models.LocalConfigRow:
    upstreams = tuple(
        row
        for row in _undrained_upstreams(state, service)
        if row.domain == world.node.domain
    )
    return models.LocalConfigRow(upstreams, in_flight_share(world, service))


def _undrained_upstreams(
    state: tickets.State, service: ids.ServiceId
) -> abc.Iterator[tickets.UpstreamRow]:
    for row in state.upstreams.values():
        if row.service == service and not tickets.is_drained(state, row):
            yield row


def _region_limit(
    world: world_module.World, state: tickets.State, service: ids.ServiceId
) -> tickets.RegionLimit | None:
    domain_row = state.domains.get(world.node.domain)
    region = domain_row.region if domain_row else world.node.region
    for cap in state.caps.values():
        match cap:
            case tickets.RegionLimit(region_id, service_id) if (
                region_id == region and service_id == service
            ):
                return cap
    return None
