"""Determine which entries of a region read the store for the others."""

from collections import abc

from zinnialead_core.gateway.entries import const as entries_const
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway.entries import ranking
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway import world as world_module


def rank(world: world_module.World, now_ms: float) -> int:
    """Return how many entries of the region rank before this one as readers.

    It counts only entries that sent a heartbeat lately and that the store
    answers, so that an entry that hears from none of them reads itself.
    """
    return _rank_among(world, now_ms, list(_reading_peers(world, now_ms)))


def _rank_among(
    world: world_module.World, now_ms: float, rows: list[entries.EntryRow]
) -> int:
    if not may_read(world, now_ms):
        return len(rows)
    return ranking.count_ahead(world, rows)


def first_peer(
    world: world_module.World, now_ms: float
) -> entries.EntryRow | None:
    """Return the first reader among the region's other entries, if any."""
    return min(
        _reading_peers(world, now_ms),
        key=lambda row: ranking.sort_key(row.speed, row.entry),
        default=None,
    )


def may_read(world: world_module.World, now_ms: float) -> bool:
    """Return whether no call of this entry to the store failed lately."""
    health = world.store.health[models.STORE]
    return (
        health.is_available
        and now_ms - health.failed_ms >= const.READER_PENALTY_MS
    )


def is_reader(world: world_module.World, now_ms: float) -> bool:
    """Return whether this entry reads the store for its region."""
    return _reads(world, now_ms, rank(world, now_ms))


def _reads(world: world_module.World, now_ms: float, reader_rank: int) -> bool:
    if reader_rank < const.READERS:
        return True
    return reader_rank < const.READERS_ALONE and _is_alone(world, now_ms)


def _is_alone(world: world_module.World, now_ms: float) -> bool:
    """Return whether no other region can tell this one of a change."""
    node = world.node
    since_ms = world.store.health[models.STORE].started_ms
    for entry, row in world.entries.rows.items():
        last = world.entries.heartbeats.get(entry)
        if last is not None and row.region != node.region:
            since_ms = max(since_ms, last.received_ms)
    return now_ms - since_ms > entries_const.REMOTE_SILENCE_MAX_MS


def record(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Log which entries read, and when this one begins or stops to."""
    rows = list(_reading_peers(world, now_ms))
    yield from _record_readers(world, now_ms, rows)
    health = world.store.health[models.STORE]
    reader_rank = _rank_among(world, now_ms, rows)
    reads = _reads(world, now_ms, reader_rank)
    if reads == health.is_reader:
        return
    world.store.health[models.STORE] = health._replace(is_reader=reads)
    world.counters['store.reader_changes'] += 1
    before, after = ('follows', 'reads') if reads else ('reads', 'follows')
    yield out.LogStateChange(
        'store', 'reader', before, after, f'rank {reader_rank} in the region'
    )


def _record_readers(
    world: world_module.World, now_ms: float, rows: list[entries.EntryRow]
) -> abc.Iterator[out.Output]:
    """Log when other entries than before read for the region.

    ``rows`` are the other entries that may read.
    """
    own_row = world.entries.rows.get(world.node.ref.entry)
    if own_row is not None and may_read(world, now_ms):
        rows = [*rows, own_row]
    health = world.store.health[models.STORE]
    first_rows = ranking.ordered(rows)[: const.READERS]
    found = tuple(row.entry for row in first_rows)
    if found == health.readers:
        return
    world.store.health[models.STORE] = health._replace(readers=found)
    yield out.LogStateChange(
        'store',
        'readers',
        ', '.join(health.readers) or 'none',
        ', '.join(found) or 'none',
        f'{len(rows)} entries of the region may read',
    )


def _reading_peers(
    world: world_module.World, now_ms: float
) -> abc.Iterator[entries.EntryRow]:
    """Yield the other entries of the region that may read the store."""
    for row in ranking.region_peers(world):
        last = world.entries.heartbeats.get(row.entry)
        if (
            last is None
            or last.heartbeat.leaving
            or not last.heartbeat.may_read
        ):
            continue
        if now_ms - last.received_ms <= const.READER_SILENCE_MS:
            yield row
