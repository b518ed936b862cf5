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
from zinnialead_core import timer_table


def run(
    world: world_module.World, now_ms: float, heartbeat: entries.Heartbeat
) -> abc.Iterator[out.Output]:
    """Catch up on kinds of which another entry has a later change."""
    kinds_to_request: list[models.Kind] = []
    for kind, latest_revision in zip(
        models.Kind, heartbeat.latest_revisions, strict=False
    ):
        row = world.store.watches[kind]
        known_revision = positions.known(world, kind)
        if latest_revision <= known_revision:
            continue
        if not positions.is_comparable(world, kind, heartbeat.era):
            continue
        behind = world.store.behind.get(kind)
        if behind is None or behind.latest_revision <= known_revision:
            behind = models.BehindRow(now_ms, latest_revision, heartbeat.entry)
        behind = behind._replace(
            latest_revision=max(latest_revision, behind.latest_revision)
        )
        world.store.behind[kind] = behind
        match _remedy(world, now_ms, row, heartbeat):
            case models.Remedy.ASK:
                kinds_to_request.append(kind)
            case models.Remedy.READ:
                _schedule_list(world, now_ms, row)
    if kinds_to_request:
        yield from _request(world, now_ms, heartbeat, tuple(kinds_to_request))


def behind_ms(
    world: world_module.World, now_ms: float, kind: models.Kind
) -> float:
    """Return for how long a change has been missing, 0 if none is."""
    row = world.store.behind.get(kind)
    if row is None or row.latest_revision <= positions.known(world, kind):
        return 0.0
    return now_ms - row.since_ms


def _remedy(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    heartbeat: entries.Heartbeat,
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
    # A configuration is too large for a datagram, so it is requested at once.
    wait_ms = const.BEHIND_REQUEST_MS
    if _is_local(world, heartbeat):
        is_pushed = row.kind is not models.Kind.CONFIGURATION
        wait_ms = const.BEHIND_MIN_MS if is_pushed else 0.0
    return models.Remedy.ASK if missing_ms >= wait_ms else models.Remedy.WAIT


def _is_local(world: world_module.World, heartbeat: entries.Heartbeat) -> bool:
    row = world.entries.rows.get(heartbeat.entry)
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
    heartbeat: entries.Heartbeat,
    kinds: tuple[models.Kind, ...],
) -> abc.Iterator[out.Output]:
    row = world.entries.rows.get(heartbeat.entry)
    requested_ms = world.store.requested_ms
    kinds = tuple(
        kind
        for kind in kinds
        if now_ms - requested_ms.get(kind, 0.0) >= const.REQUEST_PAUSE_MS
    )
    if row is None or not kinds:
        return
    requested_ms.update(dict.fromkeys(kinds, now_ms))
    for kind in kinds:
        yield _log_request(world, now_ms, kind, heartbeat)
    yield out.RequestSnapshots(row.peer_address, kinds)


def _log_request(
    world: world_module.World,
    now_ms: float,
    kind: models.Kind,
    heartbeat: entries.Heartbeat,
) -> out.LogStateChange:
    """Log from whom a change is requested, and how long it is known of."""
    behind = world.store.behind[kind]
    return out.LogStateChange(
        'store',
        kind,
        f'{positions.known(world, kind)}',
        f'requested from {heartbeat.entry}',
        f'told of {behind.latest_revision} by {behind.source}'
        f' {now_ms - behind.since_ms:.0f} ms ago',
    )
