"""Synchronize this entry's objects with those of other entries."""

from collections import abc
import typing

from zinnialead_core.gateway.entries import members
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
from zinnialead_core import ids
from zinnialead_core import timer_table


def apply_snapshot(
    world: world_module.World, now_ms: float, received: inp.PeerSnapshot
) -> abc.Iterator[out.Output]:
    """Apply another entry's snapshot if it is later than what is known.

    What comes from another region is told to this one, whose readers may
    not have it.
    """
    cause = f'from {received.source}'
    yield from eras.enter(world, now_ms, received.era, cause)
    # What changed since it was made can be requested at once.
    world.store.requested_ms.pop(received.kind, None)
    row = world.store.watches[received.kind]
    if not _is_later(world, row, received):
        return
    world.counters['store.heard_from_peers'] += 1
    is_news = row.synced_revision is not None and _is_remote(
        world, received.source
    )
    health.hold_removals(world, now_ms, received.removal_delay_ms)
    if received.kind is models.Kind.CONFIGURATION:
        yield from _apply_configuration(world, row, received, is_news=is_news)
        return
    latest_revision = max(received.latest_revision, row.latest_revision)
    yield from _apply_objects(world, row, received, latest_revision)
    if latest_revision == row.latest_revision:
        return
    if is_news:
        yield from members.announce(world, now_ms)
    yield out.LogStateChange(
        'store',
        received.kind,
        f'revision {row.latest_revision}',
        f'revision {latest_revision}',
        cause,
    )


def _synced_revision(received: inp.PeerSnapshot) -> int:
    return max(received.latest_revision, received.synced_revision)


def _is_later(
    world: world_module.World,
    row: models.WatchRow,
    received: inp.PeerSnapshot,
) -> bool:
    """Return whether a snapshot holds more than is known of its kind."""
    kind = received.kind
    return positions.is_comparable(world, kind, received.era) and (
        row.synced_revision is None
        or _synced_revision(received) > positions.known(world, kind)
    )


def _apply_configuration(
    world: world_module.World,
    row: models.WatchRow,
    received: inp.PeerSnapshot,
    *,
    is_news: bool,
) -> abc.Iterator[out.Output]:
    """Apply a configuration, whose numbers are versions.

    The routes' system logs the change, and the entries' system announces it
    once it is in force.
    """
    world.store.watches[row.kind] = row._replace(
        synced_revision=row.synced_revision or 0
    )
    items = received.items
    yield out.Notify(
        complete_list(row.kind, items, _synced_revision(received))
    )
    if is_news:
        yield from map(out.Notify, typing.cast('list[inp.Input]', items))


def _apply_objects(
    world: world_module.World,
    row: models.WatchRow,
    received: inp.PeerSnapshot,
    latest_revision: int,
) -> abc.Iterator[out.Output]:
    """Apply a snapshot of upstreams, drains or entries."""
    synced_revision = _synced_revision(received)
    world.store.watches[row.kind] = row._replace(
        latest_revision=latest_revision,
        synced_revision=max(synced_revision, row.synced_revision or 0),
    )
    if row.kind is models.Kind.ENTRIES:
        # Not as a list: the other entry may lack one that has just started.
        for entry in received.items:
            yield out.Notify(typing.cast('inp.Input', entry))
    else:
        yield out.Notify(
            complete_list(row.kind, received.items, synced_revision)
        )


def _is_remote(world: world_module.World, entry: str) -> bool:
    """Return whether an entry is known to be of another region."""
    row = world.entries.rows.get(ids.EntryId(entry))
    return row is not None and row.region != world.node.region


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
