"""Measure look-ups over 10^4 to 1.9 million blocks of clients."""

import array
import bisect
from collections import abc
import random
import time
import tracemalloc
import typing

import zinnialead_core as core
from zinnialead_core.components import lookups
from zinnialead_core.components.lookups import coordinator
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import world as world_module
from zinnialead_lab.capacity import const
from zinnialead_lab.capacity import models
from zinnialead_lab.capacity import states

FIRST_BLOCK = 1 << 24
BLOCK_ADDRESSES = 1 << 11


BlockRows = dict[str, tickets.BlockRow]


class BlockTable(typing.NamedTuple):
    """Hold the starts of blocks in order, and the site of each."""

    starts: 'array.array[int]'
    sites: 'array.array[int]'


def measure(counts: abc.Iterable[int]) -> abc.Iterator[models.Step]:
    """Yield memory and time for each number of blocks."""
    for count in counts:
        yield from _packed(count)
        yield from _look_ups(count)


def _packed(count: int) -> abc.Iterator[models.Step]:
    tracemalloc.start()
    table = _table(count)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    asked = _addresses(count)
    started_s = time.process_time()
    for address in asked:
        place = bisect.bisect_right(table.starts, address) - 1
        table.sites[place]
    spent_s = time.process_time() - started_s
    mb = held / const.BYTES_PER_MB
    yield models.Step('look-up', 'packed blocks', 'MB', count, mb)
    us = spent_s * 1e6 / len(asked)
    yield models.Step('look-up', 'packed decision', 'us', count, us)


def _look_ups(count: int) -> abc.Iterator[models.Step]:
    domain = ids.DomainId('region-0-0')
    made = states.state(const.SITES)
    tracemalloc.start()
    made = made._replace(blocks=_rows(count, list(made.domains)))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    node = world_module.NodeRow(
        ids.EntryRef(ids.EntryId('entry'), 1),
        domain,
        ids.RegionId('region-0'),
        'entry:7000',
    )
    world = core.new_world(node, seed=1)
    seen = [
        inp.PeerSeen(ids.EntryId(f'entry-{n}'), domain, f'entry-{n}:7000')
        for n in range(const.NODES // const.DOMAINS)
    ]
    for _ in core.tick(world, 0.0, [*seen, inp.StateRead(made)]):
        pass
    asked = [_text(address) for address in _addresses(count)[:2_000]]
    started_s = time.process_time()
    for client in asked:
        question = lookups.LookUp(
            ids.ServiceId('service-0'), None, None, client
        )
        coordinator.look_up(world, 0.0, question)
    spent_s = time.process_time() - started_s
    mb = held / const.BYTES_PER_MB
    yield models.Step('look-up', 'blocks of the state', 'MB', count, mb)
    us = spent_s * 1e6 / len(asked)
    yield models.Step('look-up', 'whole decision', 'us', count, us)


def _rows(count: int, domains: list[ids.DomainId]) -> BlockRows:
    rows = {}
    for number in range(count):
        start = FIRST_BLOCK + number * BLOCK_ADDRESSES
        prefix = f'{_text(start)}/21'
        domain = domains[number % len(domains)]
        rows[prefix] = tickets.BlockRow(prefix, domain)
    return rows


def _table(count: int) -> BlockTable:
    starts = array.array(
        'I',
        (FIRST_BLOCK + n * BLOCK_ADDRESSES for n in range(count)),
    )
    sites = array.array('H', (n % const.SITES for n in range(count)))
    return BlockTable(starts, sites)


def _addresses(count: int) -> list[int]:
    generator = random.Random(count)
    last = FIRST_BLOCK + count * BLOCK_ADDRESSES
    return [
        generator.randrange(FIRST_BLOCK, last)
        for _ in range(const.LOOK_UPS_TIMED)
    ]


def _text(address: int) -> str:
    parts = (address >> shift & 255 for shift in (24, 16, 8, 0))
    return '.'.join(map(str, parts))
