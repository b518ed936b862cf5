"""Measure look-ups over 10^4 to 1.9 million blocks of clients."""

from collections import abc
import random
import time
import tracemalloc

import zinnialead_core as core
from zinnialead_core.components import lookups
from zinnialead_core.components.lookups import blocks
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
DOMAIN = ids.DomainId('region-0-0')
SERVICE = ids.ServiceId('service-0')
ROLE = 'look-up'
US_PER_S = 1e6

BlockRows = dict[str, tickets.BlockRow]


def measure(counts: abc.Iterable[int]) -> abc.Iterator[models.Step]:
    """Yield memory and time for each number of blocks."""
    for count in counts:
        tracemalloc.start()
        rows = _rows(count, list(states.state(0).domains))
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        mb = held / const.BYTES_PER_MB
        yield models.Step(ROLE, 'rows of the state', 'MB', count, mb)
        yield from _table(rows, count)
        yield from _look_ups(rows, count)


def _table(rows: BlockRows, count: int) -> abc.Iterator[models.Step]:
    started_s = time.process_time()
    table = blocks.build(rows.values())
    built_s = time.process_time() - started_s
    yield models.Step(ROLE, 'build of the table', 's', count, built_s)
    starts, sites = table.ipv4_starts, table.ipv4_indexes
    held = len(starts) * starts.itemsize + len(sites) * sites.itemsize
    mb = held / const.BYTES_PER_MB
    yield models.Step(ROLE, 'table in use', 'MB', count, mb)
    asked = _clients(count)
    started_s = time.process_time()
    for client in asked:
        blocks.find(table, client)
    spent_s = time.process_time() - started_s
    us = spent_s * US_PER_S / len(asked)
    yield models.Step(ROLE, 'domain of a client', 'us', count, us)


def _look_ups(rows: BlockRows, count: int) -> abc.Iterator[models.Step]:
    world = _world(rows)
    asked = _clients(count)
    started_s = time.process_time()
    for client in asked:
        question = lookups.LookUp(SERVICE, None, None, client)
        coordinator.look_up(world, 0.0, question)
    spent_s = time.process_time() - started_s
    us = spent_s * US_PER_S / len(asked)
    yield models.Step(ROLE, 'whole decision', 'us', count, us)
    # The share of a core that the fleet's look-ups take on each node.
    per_s = const.LOOK_UPS_PER_S / const.NODES
    ms = us * per_s / const.MS_PER_S
    yield models.Step(ROLE, 'decisions of a node', 'ms/s', count, ms)


def _world(rows: BlockRows) -> core.World:
    made = states.state(const.SITES)._replace(blocks=rows)
    node = world_module.NodeRow(
        ids.EntryRef(ids.EntryId('entry'), 1),
        DOMAIN,
        ids.RegionId('region-0'),
        'entry:7000',
    )
    world = core.new_world(node, seed=1)
    domains = list(made.domains)
    seen = [
        inp.PeerSeen(
            ids.EntryId(f'entry-{n}'),
            domains[n % len(domains)],
            f'entry-{n}:7000',
        )
        for n in range(const.NODES)
    ]
    for _ in core.tick(world, 0.0, [*seen, inp.StateRead(made)]):
        pass
    return world


def _rows(count: int, domains: list[ids.DomainId]) -> BlockRows:
    rows = {}
    for number in range(count):
        start = FIRST_BLOCK + number * BLOCK_ADDRESSES
        prefix = f'{_text(start)}/21'
        domain = domains[number % len(domains)]
        rows[prefix] = tickets.BlockRow(prefix, domain)
    return rows


def _clients(count: int) -> list[str]:
    generator = random.Random(count)
    last = FIRST_BLOCK + count * BLOCK_ADDRESSES
    return [
        _text(generator.randrange(FIRST_BLOCK, last))
        for _ in range(const.LOOK_UPS_TIMED)
    ]


def _text(address: int) -> str:
    parts = (address >> shift & 255 for shift in (24, 16, 8, 0))
    return '.'.join(map(str, parts))
