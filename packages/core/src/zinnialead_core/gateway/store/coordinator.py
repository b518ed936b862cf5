"""Read each kind whole, then watch it or leave that to other entries."""

from collections import abc
import typing

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import health
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway.store import peer_sync
from zinnialead_core.gateway.store import readers
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import timers as timer_table


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Keep one call a kind open while this entry reads; writes ``store``."""
    for item in inputs:
        match item:
            case inp.Started():
                begun = models.HealthRow(started_ms=now_ms)
                world.store.health[models.STORE] = begun
                timer = timers.SeedQueryDue()
                due_ms = now_ms + const.START_ASK_MS
                timer_table.start(world.timers, timer, due_ms)
                for kind in models.Kind:
                    yield _call(world, kind)
            case inp.TimerDue(timers.StoreCallDue(kind)):
                if kind in world.store.watches:
                    yield from _due(world, now_ms, models.Kind(kind))
            case inp.StoreDone(kind, result, call_number) if (
                kind in world.store.watches
            ):
                row = world.store.watches[models.Kind(kind)]
                if row.call_number == call_number:
                    yield from _done(world, now_ms, row, result)
            case inp.StoreDone(kind, result):
                yield from health.note(world, now_ms, result)
            case inp.PeerSnapshot():
                yield from peer_sync.heard(world, now_ms, item)
            case inp.PeerChanges():
                yield from peer_sync.told(world, now_ms, item)
            case inp.HeartbeatReceived(heartbeat):
                yield from health.heard(world, now_ms, heartbeat)
                yield from peer_sync.compare(world, now_ms, heartbeat)
            case inp.TimerDue(timers.SeedQueryDue()):
                yield from peer_sync.ask_seeds(world, now_ms)


def _due(
    world: world_module.World, now_ms: float, kind: models.Kind
) -> abc.Iterator[out.Output]:
    row = world.store.watches[kind]
    if _must_call(world, now_ms, row):
        yield _call(world, kind)
        return
    if row.revision is not None:
        world.store.watches[kind] = models.reset(row)
    if kind is models.Kind.CONFIGURATION:
        yield from peer_sync.compare_whole(world, now_ms)
    _again(world, kind, now_ms + const.READER_PERIOD_MS)


def _must_call(
    world: world_module.World, now_ms: float, row: models.WatchRow
) -> bool:
    """Return whether a kind is read by this entry itself."""
    if row.failures and not models.is_available(world.store):
        # One of the kinds is enough to learn that the store is back.
        failed = (x for x in world.store.watches.values() if x.failures)
        return row is next(failed)
    if row.synced_revision is None or row.must_list or row.after is not None:
        return True
    if row.kind is models.Kind.ENTRIES and (
        now_ms - row.listed_ms >= const.ENTRIES_PERIOD_MS
    ):
        return True
    return readers.is_reader(world, now_ms)


def _call(world: world_module.World, kind: models.Kind) -> out.CallStore:
    row = world.store.watches[kind]
    row = row._replace(call_number=row.call_number + 1)
    world.store.watches[kind] = row
    world.counters[f'store.calls.{kind.value}'] += 1
    if row.revision is None:
        listing = models.ListKind(kind, row.after)
        return out.CallStore(kind, listing, row.call_number)
    is_entries = kind is models.Kind.ENTRIES
    wait_ms = const.ENTRIES_WAIT_MS if is_entries else const.WATCH_WAIT_MS
    watch = models.WatchKind(kind, row.revision, wait_ms)
    return out.CallStore(kind, watch, row.call_number)


def _done(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    result: models.Result,
) -> abc.Iterator[out.Output]:
    yield from health.note(world, now_ms, result)
    match result:
        case models.Listed():
            yield from _listed(world, now_ms, row, result)
        case models.Changed():
            yield from _changed(world, now_ms, row, result)
        case models.HistoryGone():
            world.counters['store.history_gone'] += 1
            _keep(world, models.reset(row))
            _again(world, row.kind, now_ms + world.random.uniform(0.0, 100.0))
        case models.Refused(retry_after_ms):
            _back_off(world, now_ms, row, retry_after_ms)
        case _:
            # A watch that is opened again may stay deaf to what changed
            # meanwhile; a list is not.
            _back_off(world, now_ms, models.reset(row), 0.0)


def _changed(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    changes: models.Changed,
) -> abc.Iterator[out.Output]:
    revision = max(changes.revision, row.revision or 0)
    known = row._replace(
        revision=revision,
        latest_revision=max(changes.latest_revision, row.latest_revision),
        synced_revision=max(revision, row.synced_revision or 0),
        failures=0,
    )
    _keep(world, known)
    for item in changes.items:
        yield out.Notify(typing.cast('inp.Input', item))
    if changes.items:
        yield from peer_sync.tell(
            world, now_ms, known, row.latest_revision, changes.items
        )
    pause_ms = _pause_ms(world, now_ms, row.kind) if changes.items else 0.0
    _again(world, row.kind, now_ms + pause_ms)


def _pause_ms(
    world: world_module.World, now_ms: float, kind: models.Kind
) -> float:
    if kind is models.Kind.ENTRIES:
        return const.ENTRIES_PAUSE_MS
    started_ms = world.store.health[models.STORE].started_ms
    if world.node.first_start and now_ms - started_ms < const.FIRST_START_MS:
        return const.FIRST_START_PAUSE_MS
    place = min(readers.rank(world, now_ms), const.READERS - 1)
    return const.WATCH_PAUSES_MS[place]


def _listed(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    page: models.Listed,
) -> abc.Iterator[out.Output]:
    latest_revision = max(row.latest_revision, page.latest_revision)
    row = row._replace(
        listed_items=(*row.listed_items, *page.items),
        latest_revision=latest_revision,
        failures=0,
    )
    if page.next_after is not None:
        _keep(world, row._replace(after=page.next_after))
        _again(world, row.kind, now_ms)
        return
    listed = peer_sync.whole(row.kind, row.listed_items, page.revision)
    if row.synced_revision is not None and peer_sync.lacks(world, listed):
        # A removal bears no revision that others could miss.
        latest_revision = max(latest_revision, page.revision)
    yield out.Notify(listed)
    row = models.reset(row)._replace(
        latest_revision=latest_revision,
        revision=page.revision,
        synced_revision=max(page.revision, row.synced_revision or 0),
        must_list=False,
        listed_ms=now_ms,
    )
    _keep(world, row)
    # By then the others have answered an entry that starts, and it knows
    # whether to watch.
    _again(world, row.kind, now_ms + const.WATCH_PAUSES_MS[0])


def _keep(world: world_module.World, row: models.WatchRow) -> None:
    world.store.watches[row.kind] = row


def _again(
    world: world_module.World, kind: models.Kind, due_ms: float
) -> None:
    timer = timers.StoreCallDue(kind)
    timer_table.start(world.timers, timer, due_ms)


def _back_off(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    retry_after_ms: float,
) -> None:
    world.counters['store.failed'] += 1
    limit_ms = min(
        const.RETRY_MAX_MS, const.RETRY_MIN_MS * 2 ** min(row.failures, 8)
    )
    pause_ms = world.random.uniform(limit_ms / 2, limit_ms)
    _keep(world, row._replace(failures=row.failures + 1))
    _again(world, row.kind, now_ms + max(pause_ms, retry_after_ms))
