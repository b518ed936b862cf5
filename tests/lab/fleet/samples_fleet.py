"""Provide a small deployment and its work for the fleet tests."""

from core import samples
from zinnialead_core.components import tickets
from zinnialead_lab import fleet

DOMAINS = ('kigali-a', 'kigali-b', 'huye-a')


def state(number: int = 1, slots: int = 2) -> tickets.State:
    base_state = samples.state(slots, number)
    upstreams = [
        row._replace(upstream=f'{row.upstream}-{domain}', domain=domain)
        for row in base_state.upstreams.values()
        for domain in DOMAINS
    ]
    return base_state._replace(
        domains={x: tickets.DomainRow(x, x.split('-')[0], 2) for x in DOMAINS},
        upstreams={x.upstream: x for x in upstreams},
    )


def work(number: int, at_ms: float, service: str = 'intake') -> fleet.Work:
    return fleet.Work(
        work_id=number,
        arrived_ms=at_ms,
        service=service,
        rank='urgent',
        domain=DOMAINS[number % 3],
        demand_ms=20.0,
        deadline_ms=at_ms + 2_000.0,
        keyed=service == 'intake',
    )


def busy_fleet(seed: int, is_baseline: bool = False) -> fleet.Fleet:
    """Return a fleet of six entries with one second of scheduled work."""
    small_fleet = fleet.new_fleet(state(), 2, seed, is_baseline)
    services = ('intake', 'pricebook')
    works = [work(n, 10.0 * n, services[n % 2]) for n in range(100)]
    fleet.add_work(small_fleet, works)
    return small_fleet
