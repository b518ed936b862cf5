"""Learn from other entries what the store does not tell."""

from collections import abc
import typing

from zinnialead_core.gateway.entries import members
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.routes import models as routes
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import health
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway.store import readers
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import timers as timer_table


def compare(
    world: world_module.World, now_ms: float, heartbeat: entries.Heartbeat
) -> abc.Iterator[out.Output]:
    """Catch up on kinds of which another entry knows a later change."""
    asked: list[models.Kind] = []
    for kind, latest_revision in zip(
        models.Kind, heartbeat.latest_revisions, strict=False
    ):
        row = world.store.watches[kind]
        known = models.known_revision(row)
        if latest_revision <= known:
            continue
        behind = world.store.behind.get(kind)
        if behind is None or behind.latest_revision <= known:
            behind = models.BehindRow(now_ms, latest_revision)
        behind = behind._replace(
            latest_revision=max(latest_revision, behind.latest_revision)
        )
        world.store.behind[kind] = behind
        match _remedy(world, now_ms, row, heartbeat):
            case models.Remedy.ASK:
                asked.append(kind)
            case models.Remedy.READ:
                _read_again(world, now_ms, row)
    if asked:
        yield from _ask(world, now_ms, heartbeat, tuple(asked))


def _remedy(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    heartbeat: entries.Heartbeat,
) -> models.Remedy:
    """Return what to do about changes that another entry knows.

    A watch that fell silent is replaced by a new read of the store.  Who
    leaves reading to others asks one of them, soon where it is near.
    """
    if not models.is_available(world.store):
        return models.Remedy.ASK
    if row.kind is models.Kind.ENTRIES:
        return models.Remedy.WAIT
    behind_ms = now_ms - world.store.behind[row.kind].since_ms
    if readers.is_reader(world, now_ms):
        if behind_ms >= const.BEHIND_ASK_MS:
            return models.Remedy.ASK
        if behind_ms >= const.BEHIND_MS and row.revision is not None:
            return models.Remedy.READ
        return models.Remedy.WAIT
    if behind_ms >= const.BEHIND_READ_MS:
        return models.Remedy.READ
    # A configuration is too large to be told; it is asked for at once.
    wait_ms = const.BEHIND_ASK_MS
    if _is_near(world, heartbeat):
        is_told = row.kind is not models.Kind.CONFIGURATION
        wait_ms = const.BEHIND_MS if is_told else 0.0
    return models.Remedy.ASK if behind_ms >= wait_ms else models.Remedy.WAIT


def _is_near(world: world_module.World, heartbeat: entries.Heartbeat) -> bool:
    row = world.entries.rows.get(heartbeat.entry)
    return row is not None and row.region == world.node.region


def heard(
    world: world_module.World, now_ms: float, item: inp.PeerSnapshot
) -> abc.Iterator[out.Output]:
    """Take in what another entry knows, if it is later."""
    row = world.store.watches[item.kind]
    synced_revision = max(item.latest_revision, item.synced_revision)
    if (
        row.synced_revision is not None
        and synced_revision <= models.known_revision(row)
    ):
        return
    world.counters['store.heard_from_peers'] += 1
    health.settle(world, now_ms, item.removal_delay_ms)
    latest_revision = max(item.latest_revision, row.latest_revision)
    world.store.watches[item.kind] = row._replace(
        latest_revision=latest_revision,
        synced_revision=max(synced_revision, row.synced_revision or 0),
    )
    if item.kind is models.Kind.ENTRIES:
        # One that has just announced itself may be unknown to the other.
        for entry in item.items:
            yield out.Notify(typing.cast('inp.Input', entry))
    else:
        yield out.Notify(whole(item.kind, item.items, synced_revision))
    if latest_revision == row.latest_revision:
        return
    yield out.LogStateChange(
        'store',
        item.kind,
        f'revision {row.latest_revision}',
        f'revision {latest_revision}',
        f'from {item.source}',
    )


def told(
    world: world_module.World, now_ms: float, item: inp.PeerChanges
) -> abc.Iterator[out.Output]:
    """Take in changes that another entry has read, if none is missed."""
    row = world.store.watches[item.kind]
    known = models.known_revision(row)
    if item.kind is not models.Kind.ENTRIES:
        if item.latest_revision <= known:
            return
        if row.synced_revision is None or known < item.base_revision:
            # The next heartbeat makes this entry ask.
            world.counters['store.told_with_gap'] += 1
            return
    world.counters['store.told_by_peers'] += 1
    health.settle(world, now_ms, item.removal_delay_ms)
    latest_revision = max(item.latest_revision, row.latest_revision)
    world.store.watches[item.kind] = row._replace(
        latest_revision=latest_revision
    )
    for change in item.items:
        yield out.Notify(typing.cast('inp.Input', change))


def tell(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    base_revision: int,
    items: tuple[object, ...],
) -> abc.Iterator[out.Output]:
    """Tell the other entries of the region what the store told."""
    to = members.neighbours(world, now_ms)
    if not to:
        return
    if row.kind is models.Kind.CONFIGURATION:
        yield out.SendHeartbeat(to, members.own_heartbeat(world, now_ms))
        return
    source = str(world.node.ref.entry)
    wait_ms = health.removal_delay_ms(world, now_ms)
    told_ = inp.PeerChanges(
        row.kind, base_revision, row.latest_revision, items, source, wait_ms
    )
    yield out.SendChanges(to, told_)


def lacks(world: world_module.World, listed: inp.Input) -> bool:
    """Return whether a whole list lacks what is known."""
    match listed:
        case inp.UpstreamsListed(rows):
            named = {row.upstream for row in rows}
            return bool(world.upstreams.rows.keys() - named)
        case inp.DrainsListed(domains):
            return bool(world.upstreams.drained.difference(domains))
        case _:
            return False


def compare_whole(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Ask a reader for all that it knows, from time to time."""
    asked_ms = world.store.compared_ms.setdefault(models.STORE, now_ms)
    if now_ms - asked_ms < const.COMPARE_PERIOD_MS:
        return
    reader = readers.nearest(world, now_ms)
    if reader is None:
        return
    world.store.compared_ms[models.STORE] = now_ms
    kinds = tuple(x for x in models.Kind if x is not models.Kind.ENTRIES)
    yield out.RequestSnapshots(reader.peer_address, kinds)


def ask_seeds(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Ask the seeds while the store has told nothing since the start."""
    missing = tuple(
        row.kind
        for row in world.store.watches.values()
        if row.synced_revision is None
    )
    if not missing:
        return
    for address in world.node.seeds:
        yield out.RequestSnapshots(address, missing)
    timer = timers.SeedQueryDue()
    timer_table.start(world.timers, timer, now_ms + const.START_ASK_MS)


def snapshot(
    world: world_module.World, now_ms: float, kind: models.Kind
) -> inp.PeerSnapshot | None:
    """Return what this entry can tell others of a kind, None if nothing."""
    row = world.store.watches[kind]
    if row.synced_revision is None:
        return None
    return inp.PeerSnapshot(
        kind,
        row.latest_revision,
        _items(world, kind),
        str(world.node.ref.entry),
        models.known_revision(row),
        health.removal_delay_ms(world, now_ms),
    )


def whole(
    kind: models.Kind, items: abc.Sequence[object], revision: int
) -> inp.Input:
    """Return the input that replaces all that was known of a kind."""
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


def _items(
    world: world_module.World, kind: models.Kind
) -> tuple[inp.Input, ...]:
    match kind:
        case models.Kind.UPSTREAMS:
            table = world.upstreams
            return tuple(
                inp.UpstreamRegistered(row)
                for row in table.rows.values()
                if row.upstream not in table.expiring
            )
        case models.Kind.DRAINS:
            return tuple(map(inp.DrainAdded, world.upstreams.drained))
        case models.Kind.ENTRIES:
            return tuple(map(inp.EntryRegistered, world.entries.rows.values()))
        case models.Kind.CONFIGURATION:
            known = world.routes.in_force.get(routes.IN_FORCE)
            source = str(world.node.ref.entry)
            return (inp.ConfigurationRead(known, source),) if known else ()


def _read_again(
    world: world_module.World, now_ms: float, row: models.WatchRow
) -> None:
    if row.must_list:
        return
    world.counters['store.watches_replaced'] += 1
    world.store.watches[row.kind] = models.reset(row)._replace(must_list=True)
    timer = timers.StoreCallDue(row.kind)
    timer_table.start(world.timers, timer, now_ms)


def _ask(
    world: world_module.World,
    now_ms: float,
    heartbeat: entries.Heartbeat,
    kinds: tuple[models.Kind, ...],
) -> abc.Iterator[out.Output]:
    row = world.entries.rows.get(heartbeat.entry)
    asked_ms = world.store.requested_ms
    kinds = tuple(
        kind
        for kind in kinds
        if now_ms - asked_ms.get(kind, 0.0) >= const.ASK_PAUSE_MS
    )
    if row is None or not kinds:
        return
    asked_ms.update(dict.fromkeys(kinds, now_ms))
    yield out.RequestSnapshots(row.peer_address, kinds)
