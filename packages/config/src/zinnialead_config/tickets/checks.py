"""Check the consistency of a state."""

from collections import abc
import ipaddress

from zinnialead_config import problems
from zinnialead_config.tickets import const
from zinnialead_core.components import tickets


def check(state: tickets.State, file: str) -> abc.Iterator[problems.Problem]:
    """Yield a problem for each broken reference, bad sum or duplicate."""
    for path, reason in _findings(state):
        yield problems.Problem(file, path, reason)


# The path of a field and what is wrong with it.
Finding = tuple[str, str]


def _findings(state: tickets.State) -> abc.Iterator[Finding]:
    yield from _check_services(state)
    yield from _check_upstreams(state)
    yield from _check_ranks(state)
    for name, drain in state.drains.items():
        yield from _check_drain(state, f'drains.{name}', drain)
    for name, cap in state.caps.items():
        yield from _check_cap(state, f'caps.{name}', cap)
    yield from _check_blocks(state)


def _check_services(state: tickets.State) -> abc.Iterator[Finding]:
    for name, row in state.services.items():
        if row.default_rank not in state.ranks:
            path = f'services.{name}.default_rank'
            yield path, f'rank {row.default_rank!r} does not exist'


def _check_upstreams(state: tickets.State) -> abc.Iterator[Finding]:
    upstreams_by_address: dict[str, str] = {}
    for name, row in state.upstreams.items():
        path = f'places.{row.service}/{row.domain}'
        if row.service not in state.services:
            yield path, f'service {row.service!r} does not exist'
        if row.domain not in state.domains:
            yield path, f'domain {row.domain!r} does not exist'
        address_path = f'{path}.upstreams.{name}.address'
        port = int(row.address.rpartition(':')[2])
        if not 0 < port <= const.PORT_MAX:
            yield address_path, f'port {port} is out of range'
        other = upstreams_by_address.setdefault(row.address, name)
        if other != name:
            yield (
                address_path,
                f'upstream {other!r} has address {row.address} too',
            )


def _check_ranks(state: tickets.State) -> abc.Iterator[Finding]:
    floor_sum = sum(row.floor_share for row in state.ranks.values())
    if floor_sum > const.FLOOR_SHARES_SUM_MAX:
        yield 'ranks', f'the floor shares sum to {floor_sum:g}, more than 1'
    ranks_by_order: dict[int, str] = {}
    for name, row in state.ranks.items():
        other = ranks_by_order.setdefault(row.order, name)
        if other != name:
            path = f'ranks.{name}.order'
            yield path, f'rank {other!r} has order {row.order} too'


def _check_drain(
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
            yield from _check_region(state, path, region)


def _check_cap(
    state: tickets.State, path: str, cap: tickets.Cap
) -> abc.Iterator[Finding]:
    match cap:
        case tickets.RegionLimit(region, service, _):
            yield from _check_region(state, path, region)
            if service not in state.services:
                yield path, f'service {service!r} does not exist'
        case tickets.ShiftCap(from_region, to_region, _):
            yield from _check_region_pair(state, path, from_region, to_region)
        case tickets.LinkBudget(from_region, to_region, _):
            yield from _check_region_pair(state, path, from_region, to_region)


def _check_region_pair(
    state: tickets.State, path: str, from_region: str, to_region: str
) -> abc.Iterator[Finding]:
    yield from _check_region(state, path, from_region)
    yield from _check_region(state, path, to_region)
    if from_region == to_region:
        yield path, f'both regions are {from_region!r}'


def _check_region(
    state: tickets.State, path: str, region: str
) -> abc.Iterator[Finding]:
    if all(row.region != region for row in state.domains.values()):
        yield path, f'no domain is in region {region!r}'


def _check_blocks(state: tickets.State) -> abc.Iterator[Finding]:
    for prefix, row in state.blocks.items():
        path = f'blocks.{prefix}'
        if row.domain not in state.domains:
            yield path, f'domain {row.domain!r} does not exist'
        try:
            ipaddress.ip_network(prefix)
        except ValueError as error:
            yield path, str(error)
