"""Order the entries for a service by where they and its upstreams are."""

from zinnialead_core.components.lookups import models
from zinnialead_core.components import members
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import world as world_module


def order(
    world: world_module.World, service: ids.ServiceId, near: ids.DomainId
) -> models.OrderRow:
    """Return the entries by domain: the nearest that serves goes first.

    Reads ``members`` and ``states``; keeps the answer in ``lookups``.
    """
    known = world.lookups.orders.get((service, near))
    if known is not None:
        return known
    state = world.states['in-force']
    drained = drained_domains(state)
    serving = _serving(state, service)

    domains = sorted(_domains(world))
    domains.sort(key=lambda domain: _distance(world, near, domain))
    domains.sort(key=lambda domain: domain not in serving)
    domains.sort(key=lambda domain: domain in drained)
    made = _grouped(world, domains)
    if service in state.services and near in state.domains:
        # Names that callers make up must not fill the table.
        world.lookups.orders[service, near] = made
    return made


def witnesses(
    world: world_module.World, home: ids.DomainId
) -> models.OrderRow:
    """Return the entries fit to be the witness of a key, best first.

    A sibling domain survives the loss of the home's domain and is near;
    other regions are too far for a claim.
    """
    known = world.lookups.witnesses.get(home)
    if known is not None:
        return known
    near = [
        domain
        for domain in sorted(_domains(world))
        if domain != home and _distance(world, home, domain) == 1
    ]
    made = _grouped(world, [*near, home])
    world.lookups.witnesses[home] = made
    return made


def drained_domains(state: tickets.State) -> frozenset[ids.DomainId]:
    """Return the domains that a drain takes out of service."""
    found: set[ids.DomainId] = set()
    for drain in state.drains.values():
        match drain:
            case tickets.DomainDrain(domain):
                found.add(domain)
            case tickets.RegionDrain(region):
                found.update(
                    row.domain
                    for row in state.domains.values()
                    if row.region == region
                )
            case tickets.UpstreamDrain():
                pass
    return frozenset(found)


def _serving(
    state: tickets.State, service: ids.ServiceId
) -> frozenset[ids.DomainId]:
    gone = {
        drain.upstream
        for drain in state.drains.values()
        if isinstance(drain, tickets.UpstreamDrain)
    }
    return frozenset(
        row.domain
        for row in state.upstreams.values()
        if row.service == service and row.upstream not in gone
    )


def _distance(
    world: world_module.World, near: ids.DomainId, far: ids.DomainId
) -> int:
    if near == far:
        return 0
    domains = world.states['in-force'].domains
    here = domains.get(near)
    there = domains.get(far)
    if here is None or there is None:
        return 2
    return 1 if here.region == there.region else 2


def _domains(world: world_module.World) -> frozenset[ids.DomainId]:
    return frozenset(row.domain for row in world.members.values())


def _grouped(
    world: world_module.World, domains: list[ids.DomainId]
) -> models.OrderRow:
    groups: dict[ids.DomainId, list[ids.EntryId]] = {x: [] for x in domains}
    for row in world.members.values():
        if row.domain in groups and row.health is not members.Health.DEAD:
            groups[row.domain].append(row.entry)
    return models.OrderRow(
        tuple(tuple(sorted(group)) for group in groups.values())
    )
