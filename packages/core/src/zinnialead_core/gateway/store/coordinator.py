"""List each kind of objects, then watch it or leave that to readers."""

from collections import abc
import typing

from zinnialead_core.gateway.entries import members
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import catch_up
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import eras
from zinnialead_core.gateway.store import health
from zinnialead_core.gateway.store import lists
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway.store import peer_sync
from zinnialead_core.gateway.store import readers
from zinnialead_core.gateway.store import unreadable
from zinnialead_core.gateway.store import watches
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import timer_table


# A configuration is announced once it is in force; entries of other regions
# are known by their heartbeats.
REMOTELY_TOLD = (models.Kind.DRAINS, models.Kind.UPSTREAMS)


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Keep one call per kind open while this entry reads; writes ``store``."""
    for event in inputs:
        match event:
            case inp.Started():
                yield from _start(world, now_ms)
            case inp.TimerDue(timers.StoreCallDue(kind)):
                if kind in world.store.watches:
                    yield from _handle_due(world, now_ms, models.Kind(kind))
            case inp.StoreDone():
                yield from _handle_done(world, now_ms, event)
            case inp.PeerSnapshot(kind):
                yield from peer_sync.apply_snapshot(world, now_ms, event)
                if kind is models.Kind.CONFIGURATION:
                    _end_seed_query(world, now_ms)
            case inp.SnapshotRequestDone(address):
                world.store.queried_seeds.discard(address)
                if not world.store.queried_seeds:
                    _end_seed_query(world, now_ms)
            case inp.PeerChanges():
                yield from peer_sync.apply_changes(world, now_ms, event)
            case inp.HeartbeatReceived(heartbeat):
                cause = f'heartbeat of {heartbeat.entry}'
                yield from eras.enter(world, now_ms, heartbeat.era, cause)
                yield from health.infer_availability(world, now_ms, heartbeat)
                yield from catch_up.run(world, now_ms, heartbeat)
                _check_readers_soon(world, now_ms, heartbeat)
            case inp.TimerDue(timers.BehindDue(kind)):
                yield from catch_up.check(world, now_ms, models.Kind(kind))
            case inp.TimerDue(timers.SeedQueryDue()):
                yield from peer_sync.query_seeds(world, now_ms)


def _start(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """List all kinds, the configuration after asking the seeds for theirs.

    Entries that run may know a later one than a store that was restored.
    """
    health_row = models.HealthRow(started_ms=now_ms)
    world.store.health[models.STORE] = health_row
    timer = timers.SeedQueryDue()
    timer_table.start(world.timers, timer, now_ms + const.SEED_QUERY_MS)
    seeds = () if world.node.first_start else world.node.seeds
    for kind in models.Kind:
        if kind is models.Kind.CONFIGURATION and seeds:
            watches.schedule(world, kind, now_ms + const.SEED_QUERY_MS)
        else:
            yield _call(world, kind)
    world.store.queried_seeds.update(seeds)
    for address in seeds:
        kinds = (models.Kind.CONFIGURATION,)
        yield out.RequestSnapshots(address, kinds)


def _end_seed_query(world: world_module.World, now_ms: float) -> None:
    """Make the first call for the configuration, unless it was made."""
    world.store.queried_seeds.clear()
    kind = models.Kind.CONFIGURATION
    if world.store.watches[kind].call_number == 0:
        watches.schedule(world, kind, now_ms)


def _handle_due(
    world: world_module.World, now_ms: float, kind: models.Kind
) -> abc.Iterator[out.Output]:
    row = world.store.watches[kind]
    if kind is models.Kind.CONFIGURATION:
        yield from readers.record(world, now_ms)
    if _should_call(world, now_ms, row):
        yield _call(world, kind)
        return
    if row.revision is not None:
        world.store.watches[kind] = models.reset(row)
    if kind is models.Kind.CONFIGURATION:
        yield from peer_sync.compare_all(world, now_ms)
    watches.schedule(world, kind, now_ms + const.READER_CHECK_PERIOD_MS)


def _should_call(
    world: world_module.World, now_ms: float, row: models.WatchRow
) -> bool:
    """Return whether this entry itself calls the store for a kind."""
    if row.failures and not models.is_available(world.store):
        # Calls of one kind suffice to notice that the store is back.
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
        list_call = models.ListKind(kind, row.after)
        return out.CallStore(kind, list_call, row.call_number)
    is_entries = kind is models.Kind.ENTRIES
    wait_ms = (
        const.ENTRIES_WATCH_WAIT_MS if is_entries else const.WATCH_WAIT_MS
    )
    watch_call = models.WatchKind(kind, row.revision, wait_ms)
    return out.CallStore(kind, watch_call, row.call_number)


def _handle_done(
    world: world_module.World, now_ms: float, done: inp.StoreDone
) -> abc.Iterator[out.Output]:
    if not isinstance(done.result, models.Refused):
        # A store that is about to return may tell its era while it refuses;
        # what it has lost can be written again only once it answers.
        cause = f'call for {done.kind}'
        yield from eras.enter(world, now_ms, done.era, cause)
    if done.kind not in world.store.watches:
        yield from health.record_result(world, now_ms, done.result)
        return
    row = world.store.watches[models.Kind(done.kind)]
    if row.call_number == done.call_number:
        yield from _handle_result(world, now_ms, row, done.result)


def _handle_result(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    result: models.Result,
) -> abc.Iterator[out.Output]:
    could_read = readers.may_read(world, now_ms)
    yield from health.record_result(world, now_ms, result)
    if could_read and not readers.may_read(world, now_ms):
        yield from members.announce(world, now_ms)
    match result:
        case models.Listed():
            yield from lists.apply_page(world, now_ms, row, result)
        case models.Changed():
            yield from _apply_changes(world, now_ms, row, result)
        case models.HistoryGone():
            world.counters['store.history_gone'] += 1
            watches.save(world, models.reset(row))
            watches.schedule(
                world, row.kind, now_ms + world.random.uniform(0.0, 100.0)
            )
        case models.Refused(retry_after_ms):
            _retry_later(world, now_ms, row, retry_after_ms)
        case _:
            # A reopened watch may miss the changes since the failure; a
            # list does not.
            _retry_later(world, now_ms, models.reset(row), 0.0)


def _apply_changes(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    changes: models.Changed,
) -> abc.Iterator[out.Output]:
    revision = max(changes.revision, row.revision or 0)
    updated = row._replace(
        revision=revision,
        latest_revision=max(changes.latest_revision, row.latest_revision),
        synced_revision=max(revision, row.synced_revision or 0),
        failures=0,
    )
    watches.save(world, updated)
    yield from unreadable.record(world, row.kind, changes.unreadable)
    for change in changes.items:
        yield out.Notify(typing.cast('inp.Input', change))
    if changes.items:
        yield from peer_sync.send_changes(
            world, now_ms, updated, row.latest_revision, changes.items
        )
        is_told_remotely = row.kind in REMOTELY_TOLD
        if is_told_remotely and not _is_first_start(world, now_ms):
            yield from members.announce_remotely(world, now_ms)
    pause_ms = _pause_ms(world, now_ms, row.kind) if changes.items else 0.0
    watches.schedule(world, row.kind, now_ms + pause_ms)


def _pause_ms(
    world: world_module.World, now_ms: float, kind: models.Kind
) -> float:
    if kind is models.Kind.ENTRIES:
        return const.ENTRIES_PAUSE_MS
    if _is_first_start(world, now_ms):
        return const.FIRST_START_PAUSE_MS
    reader_rank = min(readers.rank(world, now_ms), const.READERS - 1)
    return const.WATCH_PAUSES_MS[reader_rank]


def _is_first_start(world: world_module.World, now_ms: float) -> bool:
    """Return whether the upstreams of a new deployment still register."""
    started_ms = world.store.health[models.STORE].started_ms
    return (
        world.node.first_start and now_ms - started_ms < const.FIRST_START_MS
    )


def _check_readers_soon(
    world: world_module.World, now_ms: float, heartbeat: entries.Heartbeat
) -> None:
    """Check at once whether to read, when a reader has lost the store."""
    known = world.store.health[models.STORE].readers
    if heartbeat.may_read or heartbeat.entry not in known:
        return
    for kind in models.Kind:
        timer = timers.StoreCallDue(kind)
        if timer in world.timers.due_ms:
            timer_table.start(world.timers, timer, now_ms)


def _retry_later(
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
    watches.save(world, row._replace(failures=row.failures + 1))
    watches.schedule(world, row.kind, now_ms + max(pause_ms, retry_after_ms))
