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
    world: world_module.World, now_ms: float, beat: entries.Beat
) -> abc.Iterator[out.Output]:
    """Catch up on kinds of which another entry knows a later change."""
    asked: list[models.Kind] = []
    for kind, latest in zip(models.Kind, beat.latest, strict=False):
        row = world.store.watches[kind]
        known = models.known_revision(row)
        if latest <= known:
            continue
        behind = world.store.behind.get(kind)
        if behind is None or behind.latest <= known:
            behind = models.BehindRow(now_ms, latest)
        behind = behind._replace(latest=max(latest, behind.latest))
        world.store.behind[kind] = behind
        match _remedy(world, now_ms, row, beat):
            case models.Remedy.ASK:
                asked.append(kind)
            case models.Remedy.READ:
                _read_again(world, now_ms, row)
    if asked:
        yield from _ask(world, now_ms, beat, tuple(asked))


def _remedy(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    beat: entries.Beat,
) -> models.Remedy:
    """Return what to do about changes that another entry knows.

    A watch that fell silent is replaced by a new read of the store.  Who
    leaves reading to others asks one of them, soon where it is near.
    """
    if not models.in_touch(world.store):
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
    if _is_near(world, beat):
        is_told = row.kind is not models.Kind.CONFIGURATION
        wait_ms = const.BEHIND_MS if is_told else 0.0
    return models.Remedy.ASK if behind_ms >= wait_ms else models.Remedy.WAIT


def _is_near(world: world_module.World, beat: entries.Beat) -> bool:
    row = world.entries.rows.get(beat.entry)
    return row is not None and row.region == world.node.region


def heard(
    world: world_module.World, now_ms: float, item: inp.KindHeard
) -> abc.Iterator[out.Output]:
    """Take in what another entry knows, if it is later."""
    row = world.store.watches[item.kind]
    seen = max(item.latest, item.seen)
    if row.seen is not None and seen <= models.known_revision(row):
        return
    world.counters['store.heard_from_peers'] += 1
    health.settle(world, now_ms, item.settle_ms)
    latest = max(item.latest, row.latest)
    world.store.watches[item.kind] = row._replace(
        latest=latest, seen=max(seen, row.seen or 0)
    )
    if item.kind is models.Kind.ENTRIES:
        # One that has just announced itself may be unknown to the other.
        for entry in item.items:
            yield out.Notify(typing.cast('inp.Input', entry))
    else:
        yield out.Notify(whole(item.kind, item.items, seen))
    if latest == row.latest:
        return
    yield out.LogBelief(
        'store',
        item.kind,
        f'revision {row.latest}',
        f'revision {latest}',
        f'from {item.source}',
    )


def told(
    world: world_module.World, now_ms: float, item: inp.ChangesTold
) -> abc.Iterator[out.Output]:
    """Take in changes that another entry has read, if none is missed."""
    row = world.store.watches[item.kind]
    known = models.known_revision(row)
    if item.kind is not models.Kind.ENTRIES:
        if item.latest <= known:
            return
        if row.seen is None or known < item.base:
            # The next heartbeat makes this entry ask.
            world.counters['store.told_with_gap'] += 1
            return
    world.counters['store.told_by_peers'] += 1
    health.settle(world, now_ms, item.settle_ms)
    latest = max(item.latest, row.latest)
    world.store.watches[item.kind] = row._replace(latest=latest)
    for change in item.items:
        yield out.Notify(typing.cast('inp.Input', change))


def tell(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    base: int,
    items: tuple[object, ...],
) -> abc.Iterator[out.Output]:
    """Tell the other entries of the region what the store told."""
    to = members.neighbours(world, now_ms)
    if not to:
        return
    if row.kind is models.Kind.CONFIGURATION:
        yield out.SendBeat(to, members.own_beat(world, now_ms))
        return
    source = str(world.node.ref.entry)
    wait_ms = health.settle_ms(world, now_ms)
    told_ = inp.ChangesTold(row.kind, base, row.latest, items, source, wait_ms)
    yield out.TellPeers(to, told_)


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
    yield out.AskPeer(reader.peer_address, kinds)


def ask_seeds(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Ask the seeds while the store has told nothing since the start."""
    missing = tuple(
        row.kind for row in world.store.watches.values() if row.seen is None
    )
    if not missing:
        return
    for address in world.node.seeds:
        yield out.AskPeer(address, missing)
    timer = timers.StartAskDue()
    timer_table.start(world.timers, timer, now_ms + const.START_ASK_MS)


def known_of(
    world: world_module.World, now_ms: float, kind: models.Kind
) -> inp.KindHeard | None:
    """Return what this entry can tell others of a kind, None if nothing."""
    row = world.store.watches[kind]
    if row.seen is None:
        return None
    return inp.KindHeard(
        kind,
        row.latest,
        _items(world, kind),
        str(world.node.ref.entry),
        models.known_revision(row),
        health.settle_ms(world, now_ms),
    )


def whole(
    kind: models.Kind, items: abc.Sequence[object], revision: int
) -> inp.Input:
    """Return the input that replaces all that was known of a kind."""
    match kind:
        case models.Kind.UPSTREAMS:
            seen = (x.row for x in items if isinstance(x, inp.UpstreamSeen))
            return inp.UpstreamsListed(tuple(seen), revision)
        case models.Kind.DRAINS:
            drains = (x.domain for x in items if isinstance(x, inp.DrainSeen))
            return inp.DrainsListed(tuple(drains))
        case models.Kind.ENTRIES:
            rows = (x.row for x in items if isinstance(x, inp.EntrySeen))
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
                inp.UpstreamSeen(row)
                for row in table.rows.values()
                if row.upstream not in table.missing
            )
        case models.Kind.DRAINS:
            return tuple(map(inp.DrainSeen, world.upstreams.drained))
        case models.Kind.ENTRIES:
            return tuple(map(inp.EntrySeen, world.entries.rows.values()))
        case models.Kind.CONFIGURATION:
            known = world.routes.active.get(routes.ACTIVE)
            source = str(world.node.ref.entry)
            return (inp.ConfigurationRead(known, source),) if known else ()


def _read_again(
    world: world_module.World, now_ms: float, row: models.WatchRow
) -> None:
    if row.is_wanted:
        return
    world.counters['store.watches_replaced'] += 1
    world.store.watches[row.kind] = models.anew(row)._replace(is_wanted=True)
    timer = timers.StoreCallDue(row.kind)
    timer_table.start(world.timers, timer, now_ms)


def _ask(
    world: world_module.World,
    now_ms: float,
    beat: entries.Beat,
    kinds: tuple[models.Kind, ...],
) -> abc.Iterator[out.Output]:
    row = world.entries.rows.get(beat.entry)
    asked_ms = world.store.asked_ms
    kinds = tuple(
        kind
        for kind in kinds
        if now_ms - asked_ms.get(kind, 0.0) >= const.ASK_PAUSE_MS
    )
    if row is None or not kinds:
        return
    asked_ms.update(dict.fromkeys(kinds, now_ms))
    yield out.AskPeer(row.peer_address, kinds)
