"""Rank the entries of a region by domain and speed, then by a hash."""

import collections
from collections import abc
import functools
import operator
import typing

from zinnialead_core.gateway.entries import models
from zinnialead_core.gateway import hashing
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids

SALT = 'reader'
# The cache holds the entries of several of the largest deployments.
SORT_KEYS_MAX = 4_096


class SortKey(typing.NamedTuple):
    """Sort the fast entries first, and equally fast ones by their hash."""

    slowness: float
    name_hash: int


@functools.lru_cache(SORT_KEYS_MAX)
def sort_key(speed: float, entry: ids.EntryId) -> SortKey:
    """Return the key by which an entry is ranked in its region."""
    return SortKey(-speed, hashing.stable_hash(SALT, entry))


def region_peers(world: world_module.World) -> abc.Iterator[models.EntryRow]:
    """Yield the other registered entries of this entry's region."""
    node = world.node
    for row in world.entries.rows.values():
        if row.region == node.region and row.entry != node.ref.entry:
            yield row


def spread(rows: abc.Iterable[models.EntryRow]) -> list[models.EntryRow]:
    """Return rows in their order, but the first of each domain first.

    The second ones follow, and so on, so that the loss of a domain leaves
    some of the first rows.
    """
    placed: list[tuple[int, models.EntryRow]] = []
    counts: collections.Counter[ids.DomainId] = collections.Counter()
    for row in rows:
        placed.append((counts[row.domain], row))
        counts[row.domain] += 1
    placed.sort(key=operator.itemgetter(0))
    return [row for _, row in placed]


def ordered(rows: abc.Iterable[models.EntryRow]) -> list[models.EntryRow]:
    """Return rows in the order of their rank."""
    return spread(sorted(rows, key=lambda x: sort_key(x.speed, x.entry)))


def count_ahead(
    world: world_module.World, rows: abc.Iterable[models.EntryRow]
) -> int:
    """Return how many of ``rows`` rank before this entry.

    The first entry of each failure domain ranks before the second one of any,
    so that the loss of a domain leaves some of the first ones.  ``rows`` are
    other entries than this one.
    """
    node = world.node
    own_key = sort_key(node.speed, node.ref.entry)
    keys_by_domain: dict[ids.DomainId, list[SortKey]] = {}
    for row in rows:
        keys = keys_by_domain.setdefault(row.domain, [])
        keys.append(sort_key(row.speed, row.entry))
    local_keys = keys_by_domain.pop(node.domain, [])
    own_place = sum(key < own_key for key in local_keys)
    ahead = own_place
    for keys in keys_by_domain.values():
        keys.sort()
        ahead += len(keys[:own_place])
        ahead += sum(key < own_key for key in keys[own_place : own_place + 1])
    return ahead
