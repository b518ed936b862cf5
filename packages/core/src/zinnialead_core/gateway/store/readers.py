"""Say which entries of a region read the store for the others."""

from collections import abc

from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway.entries import ranking
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway import world as world_module


def rank(world: world_module.World, now_ms: float) -> int:
    """Return how many entries of the region read before this one does.

    Only those count that were heard lately and that the store answers, so
    that an entry which hears none of them reads itself.
    """
    rows = _reading(world, now_ms)
    if not is_fit(world, now_ms):
        return sum(1 for _ in rows)
    return ranking.count_before(world, rows)


def nearest(
    world: world_module.World, now_ms: float
) -> entries.EntryRow | None:
    """Return the first reader of the region but this entry, if any lives."""
    return min(
        _reading(world, now_ms),
        key=lambda row: ranking.place(row.speed, row.entry),
        default=None,
    )


def is_fit(world: world_module.World, now_ms: float) -> bool:
    """Return whether the store has answered this entry's calls lately."""
    known = world.store.health[models.STORE]
    return (
        known.is_available
        and now_ms - known.failed_ms >= const.READER_PENALTY_MS
    )


def is_reader(world: world_module.World, now_ms: float) -> bool:
    """Return whether this entry reads the store for its region."""
    return rank(world, now_ms) < const.READERS


def _reading(
    world: world_module.World, now_ms: float
) -> abc.Iterator[entries.EntryRow]:
    """Yield the other entries of the region that may read."""
    for row in ranking.others(world):
        heard = world.entries.heartbeats.get(row.entry)
        if (
            heard is None
            or heard.heartbeat.leaving
            or not heard.heartbeat.may_read
        ):
            continue
        if now_ms - heard.received_ms <= const.READER_SILENCE_MS:
            yield row
