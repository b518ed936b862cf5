"""Order the entries of a region, the strong ones first."""

from collections import abc
import functools
import typing

from zinnialead_core.gateway.entries import models
from zinnialead_core.gateway import hashing
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids

SALT = 'reader'
# Entries of several deployments of the size to design for.
PLACES_MAX = 4_096


class Place(typing.NamedTuple):
    """Order entries: the strong ones first, then by their weight."""

    slowness: float
    weight: int


@functools.lru_cache(PLACES_MAX)
def place(speed: float, entry: ids.EntryId) -> Place:
    """Return what an entry is ordered by among those of its region."""
    return Place(-speed, hashing.stable_hash(SALT, entry))


def others(world: world_module.World) -> abc.Iterator[models.EntryRow]:
    """Yield the registered entries of the region but this one."""
    node = world.node
    for row in world.entries.rows.values():
        if row.region == node.region and row.entry != node.ref.entry:
            yield row


def count_before(
    world: world_module.World, rows: abc.Iterable[models.EntryRow]
) -> int:
    """Return how many of some entries come before this one."""
    own = place(world.node.speed, world.node.ref.entry)
    return sum(place(row.speed, row.entry) < own for row in rows)
