"""Define the small deployment of the fuzzing."""

from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_lab.fuzz import const

DOMAINS = tuple(
    map(ids.DomainId, ('kigali-a', 'kigali-b', 'huye-a', 'huye-b'))
)
SERVICES = tuple(map(ids.ServiceId, ('payouts', 'pricebook')))
RANKS = tuple(map(ids.RankId, ('urgent', 'normal', 'night')))
PAYOUTS = SERVICES[0]
Drains = dict[str, tickets.Drain]
Caps = dict[str, tickets.Cap]


def initial_state() -> tickets.State:
    """Return the state of the first ticket."""
    upstreams = [
        _upstream(service, domain, number)
        for service in SERVICES
        for domain in DOMAINS
        for number in (1, 2)
    ]
    return tickets.empty_state()._replace(
        number=1,
        services={x: _service(x) for x in SERVICES},
        upstreams={x.upstream: x for x in upstreams},
        domains={x: _domain(x) for x in DOMAINS},
        ranks={x: _rank(x, position) for position, x in enumerate(RANKS)},
        caps=_caps(),
    )


def select_drains(picks: frozenset[int]) -> Drains:
    """Return the drains of a ticket that drawn numbers select."""
    payouts = [f'{PAYOUTS}-{domain}-1' for domain in DOMAINS]
    available: list[tickets.Drain] = [
        *map(tickets.UpstreamDrain, map(ids.UpstreamId, payouts)),
        *map(tickets.DomainDrain, DOMAINS[:2]),
        tickets.RegionDrain(ids.RegionId('huye')),
    ]
    return {
        f'drain-{pick}': available[pick % len(available)] for pick in picks
    }


def drained_upstreams(state: tickets.State) -> frozenset[ids.UpstreamId]:
    """Return the upstreams that a state drains."""
    return frozenset(
        row.upstream
        for row in state.upstreams.values()
        if any(_covers(state, x, row) for x in state.drains.values())
    )


def _covers(
    state: tickets.State, drain: tickets.Drain, row: tickets.UpstreamRow
) -> bool:
    match drain:
        case tickets.UpstreamDrain(upstream):
            return row.upstream == upstream
        case tickets.DomainDrain(domain):
            return row.domain == domain
        case tickets.RegionDrain(region):
            return state.domains[row.domain].region == region


def _service(service: ids.ServiceId) -> tickets.ServiceRow:
    return tickets.ServiceRow(
        service=service,
        idempotent=service != PAYOUTS,
        default_rank=RANKS[1],
        deadline_max_ms=const.DEADLINE_MAX_MS,
        service_time_ms=const.DEMAND_MAX_MS / 2,
        body_max_bytes=65_536,
        queue_max=20,
    )


def _upstream(
    service: ids.ServiceId, domain: ids.DomainId, number: int
) -> tickets.UpstreamRow:
    name = ids.UpstreamId(f'{service}-{domain}-{number}')
    return tickets.UpstreamRow(name, service, domain, name, 2, 800)


def _domain(domain: ids.DomainId) -> tickets.DomainRow:
    region = ids.RegionId(domain.split('-')[0])
    return tickets.DomainRow(domain, region, const.ENTRIES_PER_DOMAIN)


def _rank(rank: ids.RankId, position: int) -> tickets.RankRow:
    floor = 0.1 if position else 0.0
    return tickets.RankRow(rank, position, 10.0**-position, floor, 1_000.0)


def _caps() -> Caps:
    kigali, huye = ids.RegionId('kigali'), ids.RegionId('huye')
    return {
        'shift': tickets.ShiftCap(kigali, huye, const.SHIFT_CAP_PER_S),
        'back': tickets.ShiftCap(huye, kigali, const.SHIFT_CAP_PER_S),
    }
