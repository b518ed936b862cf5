"""Check that the parts of a state fit each other."""

from collections import abc
import ipaddress

from zinnialead_config import problems
from zinnialead_config.tickets import const
from zinnialead_core.components import tickets


def check(state: tickets.State, file: str) -> abc.Iterator[problems.Problem]:
    """Yield every reference, sum or range that does not hold."""
    for path, reason in _all(state):
        yield problems.Problem(file, path, reason)


Finding = tuple[str, str]


def _all(state: tickets.State) -> abc.Iterator[Finding]:
    yield from _services(state)
    yield from _upstreams(state)
    yield from _ranks(state)
    for name, drain in state.drains.items():
        yield from _drain(state, f'drains.{name}', drain)
    for name, cap in state.caps.items():
        yield from _cap(state, f'caps.{name}', cap)
    yield from _blocks(state)


def _services(state: tickets.State) -> abc.Iterator[Finding]:
    for name, row in state.services.items():
        if row.default_rank not in state.ranks:
            path = f'services.{name}.default_rank'
            yield path, f'rank {row.default_rank!r} does not exist'


def _upstreams(state: tickets.State) -> abc.Iterator[Finding]:
    seen: dict[str, str] = {}
    for name, row in state.upstreams.items():
        path = f'places.{row.service}/{row.domain}'
        if row.service not in state.services:
            yield path, f'service {row.service!r} does not exist'
        if row.domain not in state.domains:
            yield path, f'domain {row.domain!r} does not exist'
        twin = seen.setdefault(row.address, name)
        if twin != name:
            where = f'{path}.upstreams.{name}.address'
            yield where, f'{row.address} is the address of {twin!r} too'


def _ranks(state: tickets.State) -> abc.Iterator[Finding]:
    floors = sum(row.floor_share for row in state.ranks.values())
    if floors > const.SHARES_MAX:
        yield 'ranks', f'the floors sum to {floors:g}, more than 1'
    orders: dict[int, str] = {}
    for name, row in state.ranks.items():
        twin = orders.setdefault(row.order, name)
        if twin != name:
            path = f'ranks.{name}.order'
            yield path, f'{row.order} is the order of {twin!r} too'


def _drain(
    state: tickets.State, path: str, drain: tickets.Drain
) -> abc.Iterator[Finding]:
    match drain:
        case tickets.UpstreamDrain(upstream):
            if upstream not in state.upstreams:
                yield path, f'upstream {upstream!r} does not exist'
        case tickets.DomainDrain(domain):
            if domain not in state.domains:
                yield path, f'domain {domain!r} does not exist'
        case tickets.RegionDrain(region):
            yield from _region(state, path, region)


def _cap(
    state: tickets.State, path: str, cap: tickets.Cap
) -> abc.Iterator[Finding]:
    match cap:
        case tickets.RegionLimit(region, service, _):
            yield from _region(state, path, region)
            if service not in state.services:
                yield path, f'service {service!r} does not exist'
        case tickets.ShiftCap(from_region, to_region, _):
            yield from _pair(state, path, from_region, to_region)
        case tickets.LinkBudget(from_region, to_region, _):
            yield from _pair(state, path, from_region, to_region)


def _pair(
    state: tickets.State, path: str, from_region: str, to_region: str
) -> abc.Iterator[Finding]:
    yield from _region(state, path, from_region)
    yield from _region(state, path, to_region)
    if from_region == to_region:
        yield path, f'both regions are {from_region!r}'


def _region(
    state: tickets.State, path: str, region: str
) -> abc.Iterator[Finding]:
    if all(row.region != region for row in state.domains.values()):
        yield path, f'no domain stands in region {region!r}'


def _blocks(state: tickets.State) -> abc.Iterator[Finding]:
    for prefix, row in state.blocks.items():
        path = f'blocks.{prefix}'
        if row.domain not in state.domains:
            yield path, f'domain {row.domain!r} does not exist'
        try:
            ipaddress.ip_network(prefix)
        except ValueError as error:
            yield path, str(error)
