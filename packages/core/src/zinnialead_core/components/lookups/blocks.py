"""Map client addresses to failure domains by CIDR block."""

import array
import bisect
from collections import abc
import ipaddress
import typing

from zinnialead_core.components.lookups import const
from zinnialead_core.components.lookups import models
from zinnialead_core.components import tickets
from zinnialead_core import ids


class Ranges(typing.NamedTuple):
    """Hold the starts of disjoint address ranges, in ascending order.

    ``indexes`` gives each range's position in ``BlockTable.domains``.
    """

    starts: 'array.array[int]'
    indexes: 'array.array[int]'


def build(rows: abc.Iterable[tickets.BlockRow]) -> models.BlockTable:
    """Build the table of address ranges; the longest matching prefix wins.

    >>> row = tickets.BlockRow
    >>> table = build([row('10.0.0.0/8', 'a'), row('10.1.0.0/16', 'b')])
    >>> find(table, '10.0.0.1'), find(table, '10.1.0.1')
    ('a', 'b')
    >>> find(table, '10.2.0.1'), find(table, '11.0.0.1')
    ('a', None)
    """
    indexes: dict[ids.DomainId | None, int] = {None: 0}
    packed_ipv4: list[int] = []
    packed_ipv6: list[int] = []
    ipv4_bits = const.IPV4_BITS
    for row in rows:
        index = indexes.setdefault(row.domain, len(indexes))
        address, _, length = row.prefix.partition('/')
        start = _parse_ipv4(address)
        if start is not None:
            packed_ipv4.append(
                _pack(start, int(length or ipv4_bits), ipv4_bits, index)
            )
            continue
        network = ipaddress.ip_network(row.prefix, strict=False)
        start = int(network.network_address) >> const.IPV6_BITS
        bits = min(network.prefixlen, const.IPV6_BITS)
        packed_ipv6.append(_pack(start, bits, const.IPV6_BITS, index))
    ipv4_ranges = _flatten(packed_ipv4, const.IPV4_BITS, 'I')
    ipv6_ranges = _flatten(packed_ipv6, const.IPV6_BITS, 'Q')
    return models.BlockTable(*ipv4_ranges, *ipv6_ranges, tuple(indexes))


def find(table: models.BlockTable, client: str) -> ids.DomainId | None:
    """Return the domain of a client's address, None if no block has it.

    This is a binary search over the ranges.
    """
    address = _parse_ipv4(client)
    if address is not None:
        starts, indexes = table.ipv4_starts, table.ipv4_indexes
    else:
        address = _parse_ipv6(client)
        starts, indexes = table.ipv6_starts, table.ipv6_indexes
    if address is None:
        return None
    position = bisect.bisect_right(starts, address)
    return table.domains[indexes[position - 1]] if position else None


def _parse_ipv4(text: str) -> int | None:
    # Much faster than ipaddress, and every look-up parses an address.
    try:
        packed = bytes(map(int, text.split('.')))
    except ValueError:
        return None
    if len(packed) != 4:
        return None
    return int.from_bytes(packed, 'big')


def _parse_ipv6(text: str) -> int | None:
    try:
        return int(ipaddress.IPv6Address(text)) >> const.IPV6_BITS
    except ValueError:
        return None


def _pack(start: int, length: int, bits: int, index: int) -> int:
    # Packed blocks sort by start, then by length, so an outer block
    # precedes the blocks inside it.  One int per block saves memory
    # during a build.
    start = start >> bits - length << bits - length
    return (start << 7 | length) << 16 | min(index, const.DOMAIN_INDEX_MAX)


def _flatten(packed: list[int], bits: int, typecode: str) -> Ranges:
    """Flatten nested blocks into disjoint ranges."""
    ranges = Ranges(array.array(typecode), array.array('H'))
    open_blocks: list[tuple[int, int]] = []
    packed.sort()
    for block in packed:
        start = block >> 23
        length = block >> 16 & 0x7F
        index = block & const.DOMAIN_INDEX_MAX
        _close_blocks(ranges, open_blocks, start)
        end = start + (1 << bits - length)
        open_blocks.append((end, index))
        _start_range(ranges, start, index)
    _close_blocks(ranges, open_blocks, 1 << bits)
    return ranges


def _close_blocks(
    ranges: Ranges, open_blocks: list[tuple[int, int]], before: int
) -> None:
    """Close the blocks that end by ``before``; their outer block resumes."""
    while open_blocks and open_blocks[-1][0] <= before:
        end, _ = open_blocks.pop()
        outer = open_blocks[-1][1] if open_blocks else 0
        if end < before:
            _start_range(ranges, end, outer)


def _start_range(ranges: Ranges, start: int, index: int) -> None:
    if ranges.starts and ranges.starts[-1] == start:
        ranges.indexes[-1] = index
        return
    if ranges.indexes and ranges.indexes[-1] == index:
        return
    ranges.starts.append(start)
    ranges.indexes.append(index)
