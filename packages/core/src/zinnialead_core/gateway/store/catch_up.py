"""Catch up on changes that other entries know and this one does not."""

from collections import abc

from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway.store import positions
from zinnialead_core.gateway.store import readers
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core import timer_table


def run(
    world: world_module.World, now_ms: float, heartbeat: entries.Heartbeat
) -> abc.Iterator[out.Output]:
    """Catch up on kinds of which another entry has a later change."""
    kinds = list(_record(world, now_ms, heartbeat))
    if not kinds:
        return
    for kind in kinds:
        _check_later(world, now_ms, kind)
    yield from _remedy_all(world, now_ms, kinds)


def check(
    world: world_module.World, now_ms: float, kind: models.Kind
) -> abc.Iterator[out.Output]:
    """Go on to catch up on a kind unless that is done."""
    if is_behind(world, kind):
        _check_later(world, now_ms, kind)
        yield from _remedy_all(world, now_ms, [kind])


def is_behind(world: world_module.World, kind: models.Kind) -> bool:
    """Return whether another entry told of a change that is missing."""
    row = world.store.behind.get(kind)
    return row is not None and (
        row.latest_revision > positions.known(world, kind)
    )


def behind_ms(
    world: world_module.World, now_ms: float, kind: models.Kind
) -> float:
    """Return for how long a change has been missing, 0 if none is."""
    if not is_behind(world, kind):
        return 0.0
    return now_ms - world.store.behind[kind].since_ms


def _record(
    world: world_module.World, now_ms: float, heartbeat: entries.Heartbeat
) -> abc.Iterator[models.Kind]:
    """Yield the kinds of which a heartbeat tells later changes."""
    for kind, latest_revision in zip(
        models.Kind, heartbeat.latest_revisions, strict=False
    ):
        if latest_revision <= positions.known(world, kind):
            continue
        if not positions.is_comparable(world, kind, heartbeat.era):
            continue
        told = models.BehindRow(now_ms, latest_revision, heartbeat.entry)
        if is_behind(world, kind):
            told = _merge(world, world.store.behind[kind], told)
        world.store.behind[kind] = told
        yield kind


def _merge(
    world: world_module.World, row: models.BehindRow, told: models.BehindRow
) -> models.BehindRow:
    """Return what two entries told, with the better source of the two."""
    source = told.source
    if _is_local(world, row.source) and not _is_local(world, source):
        source = row.source
    latest_revision = max(row.latest_revision, told.latest_revision)
    return models.BehindRow(row.since_ms, latest_revision, source)


def _check_later(
    world: world_module.World, now_ms: float, kind: models.Kind
) -> None:
    """Start the timer of the next check, unless it runs."""
    timer = timers.BehindDue(kind)
    if kind is models.Kind.ENTRIES or timer in world.timers.due_ms:
        return
    due_ms = now_ms + const.BEHIND_CHECK_PERIOD_MS
    timer_table.start(world.timers, timer, due_ms)


def _remedy_all(
    world: world_module.World, now_ms: float, kinds: list[models.Kind]
) -> abc.Iterator[out.Output]:
    """Start what gets the missing changes of some kinds."""
    kinds_by_source: dict[ids.EntryId, list[models.Kind]] = {}
    for kind in kinds:
        match _remedy(world, now_ms, world.store.watches[kind]):
            case models.Remedy.ASK:
                source = world.store.behind[kind].source
                kinds_by_source.setdefault(source, []).append(kind)
            case models.Remedy.READ:
                _schedule_list(world, now_ms, world.store.watches[kind])
    for source, asked in kinds_by_source.items():
        yield from _request(world, now_ms, source, asked)


def _remedy(
    world: world_module.World, now_ms: float, row: models.WatchRow
) -> models.Remedy:
    """Return how to get the changes that another entry has.

    A reader replaces a watch that reports nothing by a new list.  Other
    entries request a snapshot, sooner from an entry of their own region.
    """
    if not models.is_available(world.store):
        return models.Remedy.ASK
    if row.kind is models.Kind.ENTRIES:
        return models.Remedy.WAIT
    missing_ms = behind_ms(world, now_ms, row.kind)
    if readers.is_reader(world, now_ms):
        if missing_ms >= const.BEHIND_REQUEST_MS:
            return models.Remedy.ASK
        if missing_ms >= const.BEHIND_MIN_MS and row.revision is not None:
            return models.Remedy.READ
        return models.Remedy.WAIT
    if missing_ms >= const.BEHIND_READ_MS:
        return models.Remedy.READ
    wait_ms = const.BEHIND_REMOTE_MS
    if _is_local(world, world.store.behind[row.kind].source):
        # A configuration is too large to be sent, so it is requested at once.
        is_sent = row.kind is not models.Kind.CONFIGURATION
        wait_ms = const.BEHIND_LOCAL_MS if is_sent else 0.0
    return models.Remedy.ASK if missing_ms >= wait_ms else models.Remedy.WAIT


def _is_local(world: world_module.World, entry: ids.EntryId) -> bool:
    row = world.entries.rows.get(entry)
    return row is not None and row.region == world.node.region


def _schedule_list(
    world: world_module.World, now_ms: float, row: models.WatchRow
) -> None:
    if row.must_list:
        return
    world.counters['store.watches_replaced'] += 1
    world.store.watches[row.kind] = models.reset(row)._replace(must_list=True)
    timer = timers.StoreCallDue(row.kind)
    timer_table.start(world.timers, timer, now_ms)


def _request(
    world: world_module.World,
    now_ms: float,
    source: ids.EntryId,
    kinds: list[models.Kind],
) -> abc.Iterator[out.Output]:
    row = world.entries.rows.get(source)
    requested_ms = world.store.requested_ms
    due = tuple(
        kind
        for kind in kinds
        if now_ms - requested_ms.get(kind, 0.0) >= const.REQUEST_PAUSE_MS
    )
    if row is None or not due:
        return
    requested_ms.update(dict.fromkeys(due, now_ms))
    for kind in due:
        yield _log_request(world, now_ms, kind)
    yield out.RequestSnapshots(row.peer_address, due)


def _log_request(
    world: world_module.World, now_ms: float, kind: models.Kind
) -> out.LogStateChange:
    """Log from whom a change is requested, and how long it is missing."""
    behind = world.store.behind[kind]
    return out.LogStateChange(
        'store',
        kind,
        f'{positions.known(world, kind)}',
        f'requested from {behind.source}',
        f'told of {behind.latest_revision}'
        f' {now_ms - behind.since_ms:.0f} ms ago',
    )
