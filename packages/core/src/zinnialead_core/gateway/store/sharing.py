"""Learn from other entries what the store does not tell."""

from collections import abc

from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.routes import models as routes
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import timers as timer_table


def compare(
    world: world_module.World, now_ms: float, beat: entries.Beat
) -> abc.Iterator[out.Output]:
    """Catch up on kinds of which another entry knows a later change.

    A watch that fell silent is replaced by a new read of the store; where
    that does not help, the other entry is asked.
    """
    asked: list[models.Kind] = []
    for kind, latest in zip(models.Kind, beat.latest, strict=False):
        row = world.store.watches[kind]
        if latest <= known_revision(row):
            continue
        behind = world.store.behind.get(kind)
        if behind is None or behind.latest <= known_revision(row):
            behind = models.BehindRow(now_ms, latest)
        behind = behind._replace(latest=max(latest, behind.latest))
        world.store.behind[kind] = behind
        behind_ms = now_ms - behind.since_ms
        if behind_ms >= const.BEHIND_ASK_MS or not models.in_touch(
            world.store
        ):
            asked.append(kind)
        elif behind_ms >= const.BEHIND_MS and row.revision is not None:
            world.counters['store.watches_replaced'] += 1
            _read_again(world, now_ms, row)
    if asked:
        yield from _ask(world, now_ms, beat, tuple(asked))


def known_revision(row: models.WatchRow) -> int:
    """Return the revision up to which a kind is known."""
    return max(row.latest, row.revision or 0)


def heard(
    world: world_module.World, item: inp.KindHeard
) -> abc.Iterator[out.Output]:
    """Take in what another entry knows, if it is later."""
    row = world.store.watches[item.kind]
    if item.latest <= known_revision(row):
        return
    world.counters['store.heard_from_peers'] += 1
    world.store.watches[item.kind] = row._replace(latest=item.latest)
    yield out.Notify(whole(item.kind, item.items, item.latest))
    yield out.LogBelief(
        'store',
        item.kind,
        f'revision {row.latest}',
        f'revision {item.latest}',
        f'from {item.source}',
    )


def ask_seeds(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Ask the seeds while the store has told nothing since the start."""
    missing = tuple(
        row.kind
        for row in world.store.watches.values()
        if row.revision is None and row.latest == 0
    )
    if not missing:
        return
    for address in world.node.seeds:
        yield out.AskPeer(address, missing)
    timer = timers.StartAskDue()
    timer_table.start(world.timers, timer, now_ms + const.START_ASK_MS)


def known_of(
    world: world_module.World, kind: models.Kind
) -> inp.KindHeard | None:
    """Return what this entry can tell others of a kind, None if nothing."""
    row = world.store.watches[kind]
    latest = known_revision(row)
    if latest == 0:
        return None
    source = str(world.node.ref.entry)
    return inp.KindHeard(kind, latest, _items(world, kind), source)


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
            return tuple(map(inp.UpstreamSeen, world.upstreams.rows.values()))
        case models.Kind.DRAINS:
            return tuple(map(inp.DrainSeen, world.upstreams.drained))
        case models.Kind.ENTRIES:
            return tuple(map(inp.EntrySeen, world.entries.rows.values()))
        case models.Kind.CONFIGURATION:
            known = world.routes.in_force.get(routes.IN_FORCE)
            source = str(world.node.ref.entry)
            return (inp.ConfigurationRead(known, source),) if known else ()


def _read_again(
    world: world_module.World, now_ms: float, row: models.WatchRow
) -> None:
    world.store.watches[row.kind] = models.anew(row)
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
