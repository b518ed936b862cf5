"""Order entries by domain: distance, drains and available upstreams."""

from zinnialead_core.components.lookups import models
from zinnialead_core.components import members
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import world as world_module


def service_order(
    world: world_module.World, service: ids.ServiceId, origin: ids.DomainId
) -> models.OrderRow:
    """Group the entries by domain, the nearest serving domain first.

    Drained domains come last, before them those without an upstream of
    the service.  Reads ``members`` and ``states``; caches in ``lookups``.
    """
    cached = world.lookups.orders.get((service, origin))
    if cached is not None:
        return cached
    state = world.states['in-force']
    drained = drained_domains(state)
    serving = _serving_domains(state, service)

    domains = sorted(_member_domains(world))
    domains.sort(key=lambda domain: _distance(world, origin, domain))
    domains.sort(key=lambda domain: domain not in serving)
    domains.sort(key=lambda domain: domain in drained)
    order = _group_by_domain(world, domains)
    if service in state.services and origin in state.domains:
        # Unknown names from callers must not fill the cache.
        world.lookups.orders[service, origin] = order
    return order


def witness_order(
    world: world_module.World, home: ids.DomainId
) -> models.OrderRow:
    """Group the entries that may be the witness of a key, best first.

    The region's other domains come first: they are near, and survive the
    loss of the home's domain.  Other regions are too far for a claim.
    """
    cached = world.lookups.witnesses.get(home)
    if cached is not None:
        return cached
    siblings = [
        domain
        for domain in sorted(_member_domains(world))
        if domain != home and _distance(world, home, domain) == 1
    ]
    order = _group_by_domain(world, [*siblings, home])
    world.lookups.witnesses[home] = order
    return order


def drained_domains(state: tickets.State) -> frozenset[ids.DomainId]:
    """Return the domains that are drained, alone or with their region."""
    drained: set[ids.DomainId] = set()
    for drain in state.drains.values():
        match drain:
            case tickets.DomainDrain(domain):
                drained.add(domain)
            case tickets.RegionDrain(region):
                drained.update(
                    row.domain
                    for row in state.domains.values()
                    if row.region == region
                )
            case tickets.UpstreamDrain():
                pass
    return frozenset(drained)


def _serving_domains(
    state: tickets.State, service: ids.ServiceId
) -> frozenset[ids.DomainId]:
    drained_upstreams = {
        drain.upstream
        for drain in state.drains.values()
        if isinstance(drain, tickets.UpstreamDrain)
    }
    return frozenset(
        row.domain
        for row in state.upstreams.values()
        if row.service == service and row.upstream not in drained_upstreams
    )


def _distance(
    world: world_module.World, origin: ids.DomainId, other: ids.DomainId
) -> int:
    if origin == other:
        return 0
    domains = world.states['in-force'].domains
    origin_row = domains.get(origin)
    other_row = domains.get(other)
    if origin_row is None or other_row is None:
        return 2
    return 1 if origin_row.region == other_row.region else 2


def _member_domains(world: world_module.World) -> frozenset[ids.DomainId]:
    return frozenset(row.domain for row in world.members.values())


def _group_by_domain(
    world: world_module.World, domains: list[ids.DomainId]
) -> models.OrderRow:
    groups: dict[ids.DomainId, list[ids.EntryId]] = {x: [] for x in domains}
    for row in world.members.values():
        if row.domain in groups and row.health is not members.Health.DEAD:
            groups[row.domain].append(row.entry)
    return models.OrderRow(
        tuple(tuple(sorted(group)) for group in groups.values())
    )
