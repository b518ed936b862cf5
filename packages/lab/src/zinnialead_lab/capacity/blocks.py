"""Measure look-ups over 10^4 to 1.9 million blocks of client addresses."""

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
from zinnialead_lab.capacity import fixtures
from zinnialead_lab.capacity import models

FIRST_ADDRESS = 1 << 24  # 1.0.0.0
ADDRESSES_PER_BLOCK = 1 << 11  # a /21
DOMAIN = ids.DomainId('region-0-0')
SERVICE = ids.ServiceId('service-0')
ROLE = 'look-up'
US_PER_S = 1e6

BlockRows = dict[str, tickets.BlockRow]


def measure(counts: abc.Iterable[int]) -> abc.Iterator[models.Point]:
    """Yield the memory and the look-up times for each number of blocks."""
    for count in counts:
        tracemalloc.start()
        rows = _block_rows(count, list(fixtures.state(0).domains))
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        used_mb = used_bytes / const.BYTES_PER_MB
        yield models.Point(ROLE, 'rows of the state', 'MB', count, used_mb)
        yield from _table_points(rows, count)
        yield from _look_up_points(rows, count)


def _table_points(rows: BlockRows, count: int) -> abc.Iterator[models.Point]:
    started_s = time.process_time()
    table = blocks.build(rows.values())
    built_s = time.process_time() - started_s
    yield models.Point(ROLE, 'build of the table', 's', count, built_s)
    starts, indexes = table.ipv4_starts, table.ipv4_indexes
    used_bytes = (
        len(starts) * starts.itemsize + len(indexes) * indexes.itemsize
    )
    used_mb = used_bytes / const.BYTES_PER_MB
    yield models.Point(ROLE, 'table in use', 'MB', count, used_mb)
    clients = _random_clients(count)
    started_s = time.process_time()
    for client in clients:
        blocks.find(table, client)
    spent_s = time.process_time() - started_s
    each_us = spent_s * US_PER_S / len(clients)
    yield models.Point(ROLE, 'domain of a client', 'us', count, each_us)


def _look_up_points(rows: BlockRows, count: int) -> abc.Iterator[models.Point]:
    world = _world(rows)
    clients = _random_clients(count)
    started_s = time.process_time()
    for client in clients:
        look_up = lookups.LookUp(SERVICE, None, None, client)
        coordinator.look_up(world, 0.0, look_up)
    spent_s = time.process_time() - started_s
    each_us = spent_s * US_PER_S / len(clients)
    yield models.Point(ROLE, 'whole decision', 'us', count, each_us)
    # Processor time of each node for its equal share of the design look-ups.
    per_s = const.DESIGN_LOOK_UPS_PER_S / const.DESIGN_NODES
    node_ms_per_s = each_us * per_s / const.MS_PER_S
    yield models.Point(
        ROLE, 'decisions of a node', 'ms/s', count, node_ms_per_s
    )


def _world(rows: BlockRows) -> core.World:
    state = fixtures.state(const.DESIGN_SITES)._replace(blocks=rows)
    node = world_module.NodeRow(
        ids.EntryRef(ids.EntryId('entry'), 1),
        DOMAIN,
        ids.RegionId('region-0'),
        'entry:7000',
    )
    world = core.new_world(node, seed=1)
    domains = list(state.domains)
    peers = [
        inp.PeerSeen(
            ids.EntryId(f'entry-{n}'),
            domains[n % len(domains)],
            f'entry-{n}:7000',
        )
        for n in range(const.DESIGN_NODES)
    ]
    for _ in core.tick(world, 0.0, [*peers, inp.StateRead(state)]):
        pass
    return world


def _block_rows(count: int, domains: list[ids.DomainId]) -> BlockRows:
    rows = {}
    for index in range(count):
        first_address = FIRST_ADDRESS + index * ADDRESSES_PER_BLOCK
        prefix = f'{_dotted_quad(first_address)}/21'
        domain = domains[index % len(domains)]
        rows[prefix] = tickets.BlockRow(prefix, domain)
    return rows


def _random_clients(count: int) -> list[str]:
    generator = random.Random(count)
    end_address = FIRST_ADDRESS + count * ADDRESSES_PER_BLOCK
    return [
        _dotted_quad(generator.randrange(FIRST_ADDRESS, end_address))
        for _ in range(const.TIMED_LOOK_UPS)
    ]


def _dotted_quad(address: int) -> str:
    parts = (address >> shift & 255 for shift in (24, 16, 8, 0))
    return '.'.join(map(str, parts))
