"""Work out what the state in force gives each service in this domain."""

from collections import abc
import math

from zinnialead_core.components.slots import models
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import world as world_module


def get(world: world_module.World, service: ids.ServiceId) -> models.LocalRow:
    """Return a service's upstreams here and its share of a limit."""
    state = world.states['in-force']
    queues = world.queues
    _renew(world)
    if service not in queues.locals:
        queues.locals[service] = _work_out(world, state, service)
    return queues.locals[service]


def changed(world: world_module.World, now_ms: float) -> None:
    """Keep the shares of before a ticket until work under them ends.

    A share that grows at once would add to work that other domains still
    have in flight under theirs.
    """
    _renew(world)
    former = world.queues.former
    for service, rows in list(former.items()):
        known = world.states['in-force'].services.get(service)
        longest_ms = known.deadline_max_ms if known else 0.0
        dated = (_dated(row, now_ms + longest_ms) for row in rows)
        former[service] = tuple(x for x in dated if now_ms < x.until_ms)
        if not former[service]:
            del former[service]


def in_flight_max(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> int | None:
    """Return how much of a service this domain may have in flight."""
    stated = get(world, service).in_flight_max
    if stated is None:
        return None
    rows = world.queues.former.get(service, ())
    held = (row.in_flight_max for row in rows if now_ms < row.until_ms)
    return min((stated, *held))


def _renew(world: world_module.World) -> None:
    queues = world.queues
    number = world.states['in-force'].number
    if queues.numbers[0] == number:
        return
    _keep_former(world)
    queues.locals.clear()
    queues.numbers[0] = number


def _keep_former(world: world_module.World) -> None:
    # ``changed`` sets the end, since only it knows the time.
    former = world.queues.former
    for service, row in world.queues.locals.items():
        if row.in_flight_max is not None:
            kept = models.FormerRow(row.in_flight_max, math.inf)
            former[service] = (*former.get(service, ()), kept)


def _dated(row: models.FormerRow, until_ms: float) -> models.FormerRow:
    if math.isinf(row.until_ms):
        return row._replace(until_ms=until_ms)
    return row


def in_flight_share(
    world: world_module.World, service: ids.ServiceId
) -> int | None:
    """Return this domain's share of a region's limit for a service.

    The limit is split by the slots in service in each domain of the
    region, and the shares sum to it exactly.
    """
    state = world.states['in-force']
    limit = _limit(world, state, service)
    if limit is None:
        return None
    here = world.node.domain
    before = own = total = 0
    for row in _in_service(state, service):
        domain = state.domains.get(row.domain)
        if domain is None or domain.region != limit.region:
            continue
        total += row.slots
        before += row.slots if row.domain < here else 0
        own += row.slots if row.domain == here else 0
    if total == 0:
        return 0
    upto = limit.in_flight * (before + own) // total
    return upto - limit.in_flight * before // total


def _work_out(
    world: world_module.World, state: tickets.State, service: ids.ServiceId
) -> models.LocalRow:
    upstreams = tuple(
        row
        for row in _in_service(state, service)
        if row.domain == world.node.domain
    )
    return models.LocalRow(upstreams, in_flight_share(world, service))


def _in_service(
    state: tickets.State, service: ids.ServiceId
) -> abc.Iterator[tickets.UpstreamRow]:
    for row in state.upstreams.values():
        if row.service == service and not tickets.is_drained(state, row):
            yield row


def _limit(
    world: world_module.World, state: tickets.State, service: ids.ServiceId
) -> tickets.RegionLimit | None:
    here = state.domains.get(world.node.domain)
    region = here.region if here else world.node.region
    for cap in state.caps.values():
        match cap:
            case tickets.RegionLimit(at, of_service) if (
                at == region and of_service == service
            ):
                return cap
    return None
