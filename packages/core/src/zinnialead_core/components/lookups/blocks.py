"""Find the failure domain that a client's block of addresses is in."""

import array
import bisect
from collections import abc
import ipaddress
import typing

from zinnialead_core.components.lookups import const
from zinnialead_core.components.lookups import models
from zinnialead_core.components import tickets
from zinnialead_core import ids


class Starts(typing.NamedTuple):
    """Hold where runs of addresses of one site start."""

    starts: 'array.array[int]'
    sites: 'array.array[int]'


def build(rows: abc.Iterable[tickets.BlockRow]) -> models.BlockTable:
    """Return the table of blocks; the longest prefix of an address wins.

    >>> row = tickets.BlockRow
    >>> table = build([row('10.0.0.0/8', 'a'), row('10.1.0.0/16', 'b')])
    >>> find(table, '10.0.0.1'), find(table, '10.1.0.1')
    ('a', 'b')
    >>> find(table, '10.2.0.1'), find(table, '11.0.0.1')
    ('a', None)
    """
    sites: dict[ids.DomainId | None, int] = {None: 0}
    ipv4: list[int] = []
    ipv6: list[int] = []
    bits4 = const.IPV4_BITS
    for row in rows:
        site = sites.setdefault(row.domain, len(sites))
        address, _, length = row.prefix.partition('/')
        start = _ipv4(address)
        if start is not None:
            ipv4.append(_packed(start, int(length or bits4), bits4, site))
            continue
        network = ipaddress.ip_network(row.prefix, strict=False)
        start = int(network.network_address) >> const.IPV6_BITS
        bits = min(network.prefixlen, const.IPV6_BITS)
        ipv6.append(_packed(start, bits, const.IPV6_BITS, site))
    four = _flatten(ipv4, const.IPV4_BITS, 'I')
    six = _flatten(ipv6, const.IPV6_BITS, 'Q')
    return models.BlockTable(*four, *six, tuple(sites))


def find(table: models.BlockTable, client: str) -> ids.DomainId | None:
    """Return the domain of a client's block, or None where there is none.

    The time grows with the logarithm of the table's size alone.
    """
    address = _ipv4(client)
    if address is not None:
        starts, sites = table.ipv4_starts, table.ipv4_sites
    else:
        address = _ipv6(client)
        starts, sites = table.ipv6_starts, table.ipv6_sites
    if address is None:
        return None
    place = bisect.bisect_right(starts, address)
    return table.domains[sites[place - 1]] if place else None


def _ipv4(text: str) -> int | None:
    # Much faster than ipaddress, on the path of each look-up.
    try:
        packed = bytes(map(int, text.split('.')))
    except ValueError:
        return None
    if len(packed) != 4:
        return None
    return int.from_bytes(packed, 'big')


def _ipv6(text: str) -> int | None:
    try:
        return int(ipaddress.IPv6Address(text)) >> const.IPV6_BITS
    except ValueError:
        return None


def _packed(start: int, length: int, bits: int, site: int) -> int:
    # Sorts by start, then the wider block first; one int a block keeps
    # the memory of a build small.
    start = start >> bits - length << bits - length
    return (start << 7 | length) << 16 | min(site, const.SITES_MAX)


def _flatten(packed: list[int], bits: int, typecode: str) -> Starts:
    """Turn nested blocks into runs that do not overlap."""
    found = Starts(array.array(typecode), array.array('H'))
    open_blocks: list[tuple[int, int]] = []
    packed.sort()
    for block in packed:
        start = block >> 23
        length = block >> 16 & 0x7F
        site = block & const.SITES_MAX
        _close(found, open_blocks, start)
        end = start + (1 << bits - length)
        open_blocks.append((end, site))
        _start(found, start, site)
    _close(found, open_blocks, 1 << bits)
    return found


def _close(
    found: Starts, open_blocks: list[tuple[int, int]], before: int
) -> None:
    """End the open blocks that end by ``before``: the outer one goes on."""
    while open_blocks and open_blocks[-1][0] <= before:
        end, _ = open_blocks.pop()
        outer = open_blocks[-1][1] if open_blocks else 0
        if end < before:
            _start(found, end, outer)


def _start(found: Starts, start: int, site: int) -> None:
    if found.starts and found.starts[-1] == start:
        found.sites[-1] = site
        return
    if found.sites and found.sites[-1] == site:
        return
    found.starts.append(start)
    found.sites.append(site)
