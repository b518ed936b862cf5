"""Store registrations of keys within bounds of count, size and time."""

from collections import abc

from zinnialead_core.components.keys import const
from zinnialead_core.components.keys import models
from zinnialead_core import ids
from zinnialead_core import timers
from zinnialead_core import world as world_module


def make_room(world: world_module.World) -> bool:
    """Return whether another key fits; drop a released one if needed.

    A released key has no work to remember: its row only rejects late
    duplicates of old asks, which would claim it for a request that is over.
    """
    table = world.registrations
    if len(table.rows) < const.REGISTRATIONS_MAX:
        return True
    if not table.free:
        return False
    _drop(table, next(iter(table.free)))
    return True


def store(world: world_module.World, row: models.RegistrationRow) -> None:
    """Store a registration and update the table's indexes."""
    table = world.registrations
    previous = table.rows.get(row.key)
    table.rows[row.key] = row
    if previous is None:
        _schedule_expiry(world, row)
    _set_present(table.awaited, row.key, bool(row.waiters))
    _set_present(table.free, row.key, isinstance(row.state, models.Free))
    if previous is None or previous.state != row.state:
        _track_record(world, row)


def drop_expired(world: world_module.World, now_ms: float) -> None:
    """Drop a batch of expired registrations."""
    table = world.registrations
    current_bucket = int(now_ms // const.EXPIRY_BUCKET_MS)
    remaining = const.EXPIRY_BATCH_ROWS
    for bucket in sorted(
        n for n in table.expiry_buckets if n < current_bucket
    ):
        keys = table.expiry_buckets[bucket]
        while keys and remaining > 0:
            _drop(table, keys.pop())
            remaining -= 1
        if keys:
            break
        del table.expiry_buckets[bucket]
    if table.expiry_buckets:
        due_ms = (min(table.expiry_buckets) + 1) * const.EXPIRY_BUCKET_MS
        timers.start(
            world.timers, timers.KeysExpiry(), max(due_ms, now_ms + 1.0)
        )


def with_waiters(
    world: world_module.World,
) -> abc.Iterator[models.RegistrationRow]:
    """Yield the registrations that have waiters."""
    for key in world.registrations.awaited:
        yield world.registrations.rows[key]


def _set_present(
    keys: dict[ids.Key, None], key: ids.Key, is_present: bool
) -> None:
    if is_present:
        keys[key] = None
    else:
        keys.pop(key, None)


def _schedule_expiry(
    world: world_module.World, row: models.RegistrationRow
) -> None:
    bucket = int(row.expires_ms // const.EXPIRY_BUCKET_MS)
    buckets = world.registrations.expiry_buckets
    if not buckets or bucket < min(buckets):
        due_ms = (bucket + 1) * const.EXPIRY_BUCKET_MS
        timers.start(world.timers, timers.KeysExpiry(), due_ms)
    buckets.setdefault(bucket, []).append(row.key)


def _track_record(
    world: world_module.World, row: models.RegistrationRow
) -> None:
    table = world.registrations
    match row.state:
        case models.Ended(_, bytes() as record):
            table.with_record.append(row.key)
            table.record_bytes[0] += len(record)
    while table.record_bytes[0] > const.RECORDS_MAX_BYTES:
        _drop_record(world, table.with_record.popleft())


def _drop_record(world: world_module.World, key: ids.Key) -> None:
    table = world.registrations
    row = table.rows.get(key)
    if row is None:
        return
    match row.state:
        case models.Ended(status, bytes() as record):
            ended = models.Ended(status, None)
            table.rows[key] = row._replace(state=ended)
            table.record_bytes[0] -= len(record)
            world.counters['keys.record_dropped'] += 1


def _drop(table: models.RegistrationTable, key: ids.Key) -> None:
    row = table.rows.pop(key, None)
    table.awaited.pop(key, None)
    table.free.pop(key, None)
    if row is None:
        return
    match row.state:
        case models.Ended(_, bytes() as record):
            table.record_bytes[0] -= len(record)
    while table.with_record and table.with_record[0] not in table.rows:
        table.with_record.popleft()
