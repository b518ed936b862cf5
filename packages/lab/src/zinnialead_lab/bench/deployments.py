"""Build the states of the bench's deployments, at their full sizes."""

from collections import abc
import typing

from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_lab.bench import const
from zinnialead_lab.bench import models


class ServiceSize(typing.NamedTuple):
    """Hold how many upstreams a service has, and each one's limits."""

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
    """Return one domain with one service of six slots in all."""
    size = ServiceSize(ids.ServiceId('intake'), 2, 3, 700, False)
    deployment = _deployment('one-pool', ('kigali',), (size,))
    domain = next(iter(deployment.state.domains))
    upstreams = {
        name: row._replace(domain=domain)
        for name, row in deployment.state.upstreams.items()
    }
    domains = {domain: deployment.state.domains[domain]}
    state = deployment.state._replace(domains=domains, upstreams=upstreams)
    return deployment._replace(state=state)


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
            ids.DomainId(f'{region}-{suffix}'),
            ids.RegionId(region),
            const.ENTRIES_PER_DOMAIN,
        )
        for region in regions
        for suffix in ('a', 'b')
    ]
    state = tickets.empty_state()._replace(
        number=1,
        services={size.service: _service_row(size) for size in sizes},
        upstreams={
            row.upstream: row
            for size in sizes
            for row in _upstream_rows(size, domains)
        },
        domains={row.domain: row for row in domains},
        ranks={row.rank: row for row in RANKS},
    )
    state = state._replace(caps=dict(_shift_caps_and_limits(state, regions)))
    return models.Deployment(name, state, const.ENTRIES_PER_DOMAIN)


def _service_row(size: ServiceSize) -> tickets.ServiceRow:
    service_time_ms = const.NON_IDEMPOTENT_SERVICE_TIME_MS
    if size.idempotent:
        service_time_ms = const.IDEMPOTENT_SERVICE_TIME_MS
    return tickets.ServiceRow(
        service=size.service,
        idempotent=size.idempotent,
        default_rank=ids.RankId('normal'),
        deadline_max_ms=const.ERLANG_DEADLINE_MS,
        service_time_ms=service_time_ms,
        body_max_bytes=65_536,
        queue_max=1_000,
    )


def _upstream_rows(
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


def _shift_caps_and_limits(
    state: tickets.State, regions: tuple[str, ...]
) -> abc.Iterator[tuple[str, tickets.Cap]]:
    total_per_s = sum(capacity_per_s(state, name) for name in state.services)
    cap_per_s = total_per_s * const.SHIFT_CAP_SHARE / len(regions)
    for source in regions:
        for target in regions:
            if source != target:
                cap = tickets.ShiftCap(
                    ids.RegionId(source),
                    ids.RegionId(target),
                    cap_per_s,
                )
                yield f'shift {source} {target}', cap
        for service in state.services:
            limit = sum(
                slots(state, service, domain)
                for domain, row in state.domains.items()
                if row.region == source
            )
            region = ids.RegionId(source)
            yield (
                f'limit {source} {service}',
                tickets.RegionLimit(region, service, limit),
            )
