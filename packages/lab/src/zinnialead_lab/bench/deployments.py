"""Describe the two deployments at the sizes of the brief."""

from collections import abc
import typing

from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_lab.bench import const
from zinnialead_lab.bench import models


class ServiceSize(typing.NamedTuple):
    """Hold how many upstreams and slots a service has."""

    service: ids.ServiceId
    upstreams: int
    slots: int
    connections: int
    idempotent: bool


SABARMATI = (
    ServiceSize(ids.ServiceId('specdesk'), 16, 5, 800, True),
    ServiceSize(ids.ServiceId('dealerbook'), 12, 3, 800, False),
    ServiceSize(ids.ServiceId('qualgate'), 14, 5, 800, False),
)
UMUSOZI = (
    ServiceSize(ids.ServiceId('pricebook'), 12, 8, 700, True),
    ServiceSize(ids.ServiceId('intake'), 12, 3, 700, False),
    ServiceSize(ids.ServiceId('payouts'), 12, 8, 700, False),
)
RANKS = (
    tickets.RankRow(ids.RankId('urgent'), 0, 100.0, 0.0, 500.0),
    tickets.RankRow(ids.RankId('normal'), 1, 10.0, 0.1, 2_000.0),
    tickets.RankRow(ids.RankId('night'), 2, 1.0, 0.05, 10_000.0),
)


def sabarmati() -> models.Deployment:
    """Return Sabarmati's deployment."""
    return _deployment('sabarmati', ('guj', 'mah', 'tn'), SABARMATI)


def umusozi() -> models.Deployment:
    """Return Umusozi's deployment."""
    return _deployment('umusozi', ('kigali', 'huye', 'musanze'), UMUSOZI)


def one_pool() -> models.Deployment:
    """Return one domain with the six slots of a scarce service."""
    size = ServiceSize(ids.ServiceId('intake'), 2, 3, 700, False)
    made = _deployment('one-pool', ('kigali',), (size,))
    domain = next(iter(made.state.domains))
    upstreams = {
        name: row._replace(domain=domain)
        for name, row in made.state.upstreams.items()
    }
    domains = {domain: made.state.domains[domain]}
    state = made.state._replace(domains=domains, upstreams=upstreams)
    return made._replace(state=state)


def capacity_per_s(
    state: tickets.State,
    service: ids.ServiceId,
    domain: ids.DomainId | None = None,
) -> float:
    """Return how many requests a second the slots can serve."""
    row = state.services[service]
    count = slots(state, service, domain)
    return count * const.MS_PER_S / row.service_time_ms


def slots(
    state: tickets.State,
    service: ids.ServiceId,
    domain: ids.DomainId | None = None,
) -> int:
    """Return the slots of a service, in one domain or in all."""
    return sum(
        row.slots
        for row in state.upstreams.values()
        if row.service == service and domain in (None, row.domain)
    )


def _deployment(
    name: str, regions: tuple[str, ...], sizes: tuple[ServiceSize, ...]
) -> models.Deployment:
    domains = [
        tickets.DomainRow(
            ids.DomainId(f'{region}-{half}'),
            ids.RegionId(region),
            const.ENTRIES_PER_DOMAIN,
        )
        for region in regions
        for half in ('a', 'b')
    ]
    state = tickets.empty_state()._replace(
        number=1,
        services={size.service: _service(size) for size in sizes},
        upstreams={
            row.upstream: row
            for size in sizes
            for row in _upstreams(size, domains)
        },
        domains={row.domain: row for row in domains},
        ranks={row.rank: row for row in RANKS},
    )
    state = state._replace(caps=dict(_caps(state, regions)))
    return models.Deployment(name, state, const.ENTRIES_PER_DOMAIN)


def _service(size: ServiceSize) -> tickets.ServiceRow:
    time_ms = const.NON_IDEMPOTENT_MS
    if size.idempotent:
        time_ms = const.IDEMPOTENT_MS
    return tickets.ServiceRow(
        service=size.service,
        idempotent=size.idempotent,
        default_rank=ids.RankId('normal'),
        deadline_max_ms=const.ERLANG_DEADLINE_MS,
        service_time_ms=time_ms,
        body_max_bytes=65_536,
        queue_max=1_000,
    )


def _upstreams(
    size: ServiceSize, domains: list[tickets.DomainRow]
) -> abc.Iterator[tickets.UpstreamRow]:
    for number in range(size.upstreams):
        name = f'{size.service}-{number + 1}'
        yield tickets.UpstreamRow(
            ids.UpstreamId(name),
            size.service,
            domains[number % len(domains)].domain,
            f'{name}:80',
            size.slots,
            size.connections,
        )


def _caps(
    state: tickets.State, regions: tuple[str, ...]
) -> abc.Iterator[tuple[str, tickets.Cap]]:
    whole = sum(capacity_per_s(state, name) for name in state.services)
    cap_per_s = whole * const.SHIFT_CAP_SHARE / len(regions)
    for one in regions:
        for other in regions:
            if one != other:
                cap = tickets.ShiftCap(
                    ids.RegionId(one),
                    ids.RegionId(other),
                    cap_per_s,
                )
                yield f'shift {one} {other}', cap
        for service in state.services:
            limit = sum(
                slots(state, service, domain)
                for domain, row in state.domains.items()
                if row.region == one
            )
            region = ids.RegionId(one)
            yield (
                f'limit {one} {service}',
                tickets.RegionLimit(region, service, limit),
            )
