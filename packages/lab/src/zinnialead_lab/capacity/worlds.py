"""Measure the memory of one entry's tables by the number of members."""

from collections import abc
import tracemalloc

import zinnialead_core as core
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import world as world_module
from zinnialead_lab.capacity import const
from zinnialead_lab.capacity import models
from zinnialead_lab.capacity import states


def measure(counts: abc.Iterable[int]) -> abc.Iterator[models.Step]:
    """Yield the memory of a world with this many members and all sites."""
    for count in counts:
        tracemalloc.start()
        world = _world(count)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(world.members) == count
        mb = held / const.BYTES_PER_MB
        yield models.Step('membership', 'tables in memory', 'MB', count, mb)


def _world(count: int) -> core.World:
    made = states.state(const.SITES)
    domains = list(made.domains)
    node = world_module.NodeRow(
        ids.EntryRef(ids.EntryId('entry-0'), 1),
        domains[0],
        made.domains[domains[0]].region,
        'entry-0:7000',
    )
    world = core.new_world(node, seed=1)
    seen = [
        inp.PeerSeen(
            ids.EntryId(f'entry-{n}'),
            domains[n % len(domains)],
            f'entry-{n}:7000',
        )
        for n in range(count)
    ]
    for _ in core.tick(world, 0.0, [*seen, inp.StateRead(made)]):
        pass
    return world
