"""Synchronize this entry's objects with those of other entries."""

from collections import abc
import typing

from zinnialead_core.gateway.entries import members
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import eras
from zinnialead_core.gateway.store import health
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway.store import positions
from zinnialead_core.gateway.store import readers
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import timer_table


def catch_up(
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
        if not _is_comparable(world, kind, heartbeat.era):
            continue
        behind = world.store.behind.get(kind)
        if behind is None or behind.latest_revision <= known_revision:
            behind = models.BehindRow(now_ms, latest_revision)
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
    behind_ms = now_ms - world.store.behind[row.kind].since_ms
    if readers.is_reader(world, now_ms):
        if behind_ms >= const.BEHIND_REQUEST_MS:
            return models.Remedy.ASK
        if behind_ms >= const.BEHIND_MIN_MS and row.revision is not None:
            return models.Remedy.READ
        return models.Remedy.WAIT
    if behind_ms >= const.BEHIND_READ_MS:
        return models.Remedy.READ
    # A configuration is too large for a datagram, so it is requested at once.
    wait_ms = const.BEHIND_REQUEST_MS
    if _is_local(world, heartbeat):
        is_pushed = row.kind is not models.Kind.CONFIGURATION
        wait_ms = const.BEHIND_MIN_MS if is_pushed else 0.0
    return models.Remedy.ASK if behind_ms >= wait_ms else models.Remedy.WAIT


def _is_local(world: world_module.World, heartbeat: entries.Heartbeat) -> bool:
    row = world.entries.rows.get(heartbeat.entry)
    return row is not None and row.region == world.node.region


def _is_comparable(
    world: world_module.World, kind: models.Kind, era: int
) -> bool:
    """Return whether another entry's revisions of a kind are of this era."""
    return kind is models.Kind.CONFIGURATION or not eras.is_past(world, era)


def apply_snapshot(
    world: world_module.World, now_ms: float, received: inp.PeerSnapshot
) -> abc.Iterator[out.Output]:
    """Apply another entry's snapshot if it is later than what is known."""
    cause = f'from {received.source}'
    yield from eras.enter(world, now_ms, received.era, cause)
    kind = received.kind
    row = world.store.watches[kind]
    synced_revision = max(received.latest_revision, received.synced_revision)
    if not _is_comparable(world, kind, received.era) or (
        row.synced_revision is not None
        and synced_revision <= positions.known(world, kind)
    ):
        return
    world.counters['store.heard_from_peers'] += 1
    health.hold_removals(world, now_ms, received.removal_delay_ms)
    if kind is models.Kind.CONFIGURATION:
        # Its numbers are versions; the routes' system logs the change.
        synced_row = row._replace(synced_revision=row.synced_revision or 0)
        world.store.watches[kind] = synced_row
        yield out.Notify(complete_list(kind, received.items, synced_revision))
        return
    latest_revision = max(received.latest_revision, row.latest_revision)
    world.store.watches[kind] = row._replace(
        latest_revision=latest_revision,
        synced_revision=max(synced_revision, row.synced_revision or 0),
    )
    if kind is models.Kind.ENTRIES:
        # Not as a list: the other entry may lack one that has just started.
        for entry in received.items:
            yield out.Notify(typing.cast('inp.Input', entry))
    else:
        yield out.Notify(complete_list(kind, received.items, synced_revision))
    if latest_revision == row.latest_revision:
        return
    yield out.LogStateChange(
        'store',
        kind,
        f'revision {row.latest_revision}',
        f'revision {latest_revision}',
        cause,
    )


def apply_changes(
    world: world_module.World, now_ms: float, batch: inp.PeerChanges
) -> abc.Iterator[out.Output]:
    """Apply changes that another entry has read, unless some are missing."""
    yield from eras.enter(world, now_ms, batch.era, f'from {batch.source}')
    if eras.is_past(world, batch.era):
        world.counters['store.told_of_past_era'] += 1
        return
    row = world.store.watches[batch.kind]
    known_revision = models.known_revision(row)
    if batch.kind is not models.Kind.ENTRIES:
        if batch.latest_revision <= known_revision:
            return
        if row.synced_revision is None or known_revision < batch.base_revision:
            # The next heartbeat makes this entry request a snapshot.
            world.counters['store.told_with_gap'] += 1
            return
    world.counters['store.told_by_peers'] += 1
    health.hold_removals(world, now_ms, batch.removal_delay_ms)
    latest_revision = max(batch.latest_revision, row.latest_revision)
    world.store.watches[batch.kind] = row._replace(
        latest_revision=latest_revision
    )
    for change in batch.items:
        yield out.Notify(typing.cast('inp.Input', change))


def send_changes(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    base_revision: int,
    items: tuple[object, ...],
) -> abc.Iterator[out.Output]:
    """Send changes from the store to the other entries of the region.

    A configuration is too large: the entries' system announces it, so that
    others request it.
    """
    peers = members.peer_addresses(world, now_ms)
    if not peers or row.kind is models.Kind.CONFIGURATION:
        return
    source = str(world.node.ref.entry)
    delay_ms = health.removal_delay_ms(world, now_ms)
    changes = inp.PeerChanges(
        row.kind,
        base_revision,
        row.latest_revision,
        items,
        source,
        delay_ms,
        eras.current(world),
    )
    yield out.SendChanges(peers, changes)


def lacks_known(world: world_module.World, listed: inp.Input) -> bool:
    """Return whether a complete list lacks objects that are known."""
    match listed:
        case inp.UpstreamsListed(rows):
            listed_upstreams = {row.upstream for row in rows}
            return bool(world.upstreams.rows.keys() - listed_upstreams)
        case inp.DrainsListed(domains):
            return bool(world.upstreams.drained.difference(domains))
        case _:
            return False


def compare_all(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Request all kinds from a reader, once each period."""
    compared_ms = world.store.compared_ms.setdefault(models.STORE, now_ms)
    if now_ms - compared_ms < const.COMPARE_PERIOD_MS:
        return
    reader = readers.first_peer(world, now_ms)
    if reader is None:
        return
    world.store.compared_ms[models.STORE] = now_ms
    kinds = tuple(x for x in models.Kind if x is not models.Kind.ENTRIES)
    yield out.RequestSnapshots(reader.peer_address, kinds)


def query_seeds(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Request from the seeds the kinds not yet read since the start."""
    missing_kinds = tuple(
        row.kind
        for row in world.store.watches.values()
        if row.synced_revision is None
    )
    if not missing_kinds:
        return
    for address in world.node.seeds:
        yield out.RequestSnapshots(address, missing_kinds)
    timer = timers.SeedQueryDue()
    timer_table.start(world.timers, timer, now_ms + const.SEED_QUERY_MS)


def complete_list(
    kind: models.Kind, items: abc.Sequence[object], revision: int
) -> inp.Input:
    """Return the input that replaces all known objects of a kind."""
    match kind:
        case models.Kind.UPSTREAMS:
            registered = (
                x.row for x in items if isinstance(x, inp.UpstreamRegistered)
            )
            return inp.UpstreamsListed(tuple(registered), revision)
        case models.Kind.DRAINS:
            drains = (x.domain for x in items if isinstance(x, inp.DrainAdded))
            return inp.DrainsListed(tuple(drains))
        case models.Kind.ENTRIES:
            rows = (x.row for x in items if isinstance(x, inp.EntryRegistered))
            return inp.EntriesListed(tuple(rows))
        case models.Kind.CONFIGURATION:
            read = (x for x in items if isinstance(x, inp.ConfigurationRead))
            return inp.ConfigurationsListed(tuple(read))


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
    yield out.RequestSnapshots(row.peer_address, kinds)
