"""Measure the memory of one entry's tables by the number of members."""

from collections import abc
import tracemalloc

import zinnialead_core as core
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import world as world_module
from zinnialead_lab.capacity import const
from zinnialead_lab.capacity import fixtures
from zinnialead_lab.capacity import models


def measure(counts: abc.Iterable[int]) -> abc.Iterator[models.Point]:
    """Yield the memory of a world with DESIGN_SITES sites, by member count."""
    for count in counts:
        tracemalloc.start()
        world = _world(count)
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(world.members) == count
        used_mb = used_bytes / const.BYTES_PER_MB
        yield models.Point(
            'membership', 'tables in memory', 'MB', count, used_mb
        )


def _world(count: int) -> core.World:
    state = fixtures.state(const.DESIGN_SITES)
    domains = list(state.domains)
    node = world_module.NodeRow(
        ids.EntryRef(ids.EntryId('entry-0'), 1),
        domains[0],
        state.domains[domains[0]].region,
        'entry-0:7000',
    )
    world = core.new_world(node, seed=1)
    peers = [
        inp.PeerSeen(
            ids.EntryId(f'entry-{n}'),
            domains[n % len(domains)],
            f'entry-{n}:7000',
        )
        for n in range(count)
    ]
    for _ in core.tick(world, 0.0, [*peers, inp.StateRead(state)]):
        pass
    return world
