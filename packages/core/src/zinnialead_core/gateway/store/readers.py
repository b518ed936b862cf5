"""Say which entries of a region read the store for the others."""

import typing

from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import hashing
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids

ROLE = 'reader'


def rank(world: world_module.World, now_ms: float) -> int:
    """Return how many entries of the region read before this one does.

    Only those count that were heard lately and that the store answers, so
    that an entry which hears none of them reads itself.
    """
    own = place(world.node.speed, world.node.ref.entry)
    is_last = not is_fit(world, now_ms)
    return sum(
        is_last or place(row.speed, row.entry) < own
        for row in world.entries.rows.values()
        if row.region == world.node.region
        and _may_read(world, now_ms, row.entry)
    )


def nearest(
    world: world_module.World, now_ms: float
) -> entries.EntryRow | None:
    """Return the first reader of the region but this entry, if any lives."""
    rows = (
        row
        for row in world.entries.rows.values()
        if row.region == world.node.region
        and _may_read(world, now_ms, row.entry)
    )
    return min(rows, key=lambda row: place(row.speed, row.entry), default=None)


def is_fit(world: world_module.World, now_ms: float) -> bool:
    """Return whether the store has answered this entry's calls lately."""
    known = world.store.health[models.STORE]
    return (
        known.in_touch and now_ms - known.failed_ms >= const.READER_PENALTY_MS
    )


def is_reader(world: world_module.World, now_ms: float) -> bool:
    """Return whether this entry reads the store for its region."""
    return rank(world, now_ms) < const.READERS


class Place(typing.NamedTuple):
    """Order entries: the strong ones first, then by their weight."""

    slowness: float
    weight: int


def place(speed: float, entry: ids.EntryId) -> Place:
    """Return what an entry is ordered by among those of its region."""
    return Place(-speed, hashing.weight(ROLE, entry))


def _may_read(
    world: world_module.World, now_ms: float, entry: ids.EntryId
) -> bool:
    heard = world.entries.heard.get(entry)
    if heard is None or entry == world.node.ref.entry:
        return False
    if heard.beat.leaving or not heard.beat.may_read:
        return False
    return now_ms - heard.heard_ms <= const.READER_SILENCE_MS
