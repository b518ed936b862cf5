"""Keep the table of registrations within its bounds."""

from collections import abc

from zinnialead_core.components.keys import const
from zinnialead_core.components.keys import models
from zinnialead_core import ids
from zinnialead_core import timers
from zinnialead_core import world as world_module


def make_room(world: world_module.World) -> bool:
    """Say whether another key fits, and drop a released one if needed.

    A released key has no work to remember: its row only keeps late
    duplicates of old asks from claiming the key for nobody.
    """
    table = world.registrations
    if len(table.rows) < const.REGISTRATIONS_MAX:
        return True
    if not table.free:
        return False
    _drop(table, next(iter(table.free)))
    return True


def put(world: world_module.World, row: models.RegistrationRow) -> None:
    """Store a registration in place of the key's earlier one."""
    table = world.registrations
    known = table.rows.get(row.key)
    table.rows[row.key] = row
    if known is None:
        _await_expiry(world, row)
    _mark(table.waited, row.key, bool(row.waiters))
    _mark(table.free, row.key, isinstance(row.state, models.Free))
    if known is None or known.state != row.state:
        _keep_record(world, row)


def expire(world: world_module.World, now_ms: float) -> None:
    """Drop some of the registrations whose time is over."""
    table = world.registrations
    latest = int(now_ms // const.EXPIRY_BUCKET_MS)
    left = const.EXPIRY_BATCH
    for number in sorted(n for n in table.buckets if n < latest):
        keys = table.buckets[number]
        while keys and left > 0:
            _drop(table, keys.pop())
            left -= 1
        if keys:
            break
        del table.buckets[number]
    if table.buckets:
        due_ms = (min(table.buckets) + 1) * const.EXPIRY_BUCKET_MS
        timers.start(
            world.timers, timers.KeysExpiry(), max(due_ms, now_ms + 1.0)
        )


def waited(
    world: world_module.World,
) -> abc.Iterator[models.RegistrationRow]:
    """Yield the registrations that have waiters."""
    for key in world.registrations.waited:
        yield world.registrations.rows[key]


def _mark(marks: dict[ids.Key, None], key: ids.Key, marked: bool) -> None:
    if marked:
        marks[key] = None
    else:
        marks.pop(key, None)


def _await_expiry(
    world: world_module.World, row: models.RegistrationRow
) -> None:
    number = int(row.expires_ms // const.EXPIRY_BUCKET_MS)
    buckets = world.registrations.buckets
    if not buckets or number < min(buckets):
        due_ms = (number + 1) * const.EXPIRY_BUCKET_MS
        timers.start(world.timers, timers.KeysExpiry(), due_ms)
    buckets.setdefault(number, []).append(row.key)


def _keep_record(
    world: world_module.World, row: models.RegistrationRow
) -> None:
    table = world.registrations
    match row.state:
        case models.Ended(_, bytes() as record):
            table.recorded.append(row.key)
            table.recorded_bytes[0] += len(record)
    while table.recorded_bytes[0] > const.RECORDED_MAX_BYTES:
        _drop_record(world, table.recorded.popleft())


def _drop_record(world: world_module.World, key: ids.Key) -> None:
    table = world.registrations
    row = table.rows.get(key)
    if row is None:
        return
    match row.state:
        case models.Ended(status, bytes() as record):
            ended = models.Ended(status, None)
            table.rows[key] = row._replace(state=ended)
            table.recorded_bytes[0] -= len(record)
            world.counters['keys.record_dropped'] += 1


def _drop(table: models.RegistrationTable, key: ids.Key) -> None:
    row = table.rows.pop(key, None)
    table.waited.pop(key, None)
    table.free.pop(key, None)
    if row is None:
        return
    match row.state:
        case models.Ended(_, bytes() as record):
            table.recorded_bytes[0] -= len(record)
    while table.recorded and table.recorded[0] not in table.rows:
        table.recorded.popleft()
