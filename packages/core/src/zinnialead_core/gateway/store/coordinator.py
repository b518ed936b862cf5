"""Read each kind whole, then watch it; tell when the store is away."""

from collections import abc
import typing

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import timers as timer_table


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Keep one call a kind open; writes ``store``."""
    for item in inputs:
        match item:
            case inp.Started():
                health = models.HealthRow(begun_ms=now_ms)
                world.store.health[models.STORE] = health
                for kind in models.Kind:
                    yield _call(world, kind)
            case inp.TimerDue(timers.StoreCallDue(kind)):
                if kind in world.store.watches:
                    yield _call(world, models.Kind(kind))
            case inp.StoreDone(kind, result) if kind in world.store.watches:
                row = world.store.watches[models.Kind(kind)]
                yield from _done(world, now_ms, row, result)
            case inp.StoreDone(kind, result):
                yield from _note(world, now_ms, result)


def _call(world: world_module.World, kind: models.Kind) -> out.CallStore:
    row = world.store.watches[kind]
    world.counters[f'store.calls.{kind.value}'] += 1
    if row.revision is None:
        return out.CallStore(kind, models.ListKind(kind, row.after))
    watch = models.WatchKind(kind, row.revision, const.WATCH_WAIT_MS)
    return out.CallStore(kind, watch)


def _done(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    result: models.Result,
) -> abc.Iterator[out.Output]:
    yield from _note(world, now_ms, result)
    match result:
        case models.Listed(items, next_after, revision):
            yield from _listed(world, now_ms, row, items, next_after, revision)
        case models.Changed(items, revision):
            latest = max(revision, row.revision or 0)
            _keep(world, row._replace(revision=latest, failures=0))
            for item in items:
                yield out.Notify(typing.cast('inp.Input', item))
            pause_ms = _pause_ms(world, now_ms) if items else 0.0
            _again(world, row.kind, now_ms + pause_ms)
        case models.HistoryGone():
            world.counters['store.history_gone'] += 1
            _keep(world, models.WatchRow(row.kind))
            _again(world, row.kind, now_ms + world.random.uniform(0.0, 100.0))
        case models.Refused(retry_after_ms):
            _back_off(world, now_ms, row, retry_after_ms)
        case _:
            _back_off(world, now_ms, row, 0.0)


def _pause_ms(world: world_module.World, now_ms: float) -> float:
    begun_ms = world.store.health[models.STORE].begun_ms
    if world.node.first_start and now_ms - begun_ms < const.FIRST_START_MS:
        return const.FIRST_START_PAUSE_MS
    return const.WATCH_PAUSE_MS


def _listed(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    items: tuple[object, ...],
    next_after: str | None,
    revision: int,
) -> abc.Iterator[out.Output]:
    gathered = (*row.gathered, *items)
    if next_after is not None:
        # Changes between two pages are seen by a watch from the first one.
        first = row.revision
        _keep(
            world,
            row._replace(
                after=next_after, gathered=gathered, revision=first, failures=0
            ),
        )
        _again(world, row.kind, now_ms)
        return
    yield out.Notify(_whole(row.kind, gathered))
    _keep(world, models.WatchRow(row.kind, revision))
    _again(world, row.kind, now_ms)


def _whole(kind: models.Kind, items: tuple[object, ...]) -> inp.Input:
    """Return the input that replaces all that was known of a kind."""
    match kind:
        case models.Kind.UPSTREAMS:
            seen = (x.row for x in items if isinstance(x, inp.UpstreamSeen))
            return inp.UpstreamsListed(tuple(seen))
        case models.Kind.DRAINS:
            drains = (x.domain for x in items if isinstance(x, inp.DrainSeen))
            return inp.DrainsListed(tuple(drains))
        case models.Kind.ENTRIES:
            rows = (x.row for x in items if isinstance(x, inp.EntrySeen))
            return inp.EntriesListed(tuple(rows))
        case models.Kind.CONFIGURATION:
            read = (x for x in items if isinstance(x, inp.ConfigurationRead))
            return inp.ConfigurationsListed(tuple(read))


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


def _note(
    world: world_module.World, now_ms: float, result: models.Result
) -> abc.Iterator[out.Output]:
    """Keep whether the store answers, and log when that changes."""
    known = world.store.health[models.STORE]
    answers = not isinstance(result, (models.Failed, models.Refused))
    if answers and not known.in_touch:
        settled_ms = 0.0
        lost_ms = known.lost_ms
        if lost_ms is not None and now_ms - lost_ms > const.OUTAGE_MIN_MS:
            settled_ms = now_ms + const.SETTLE_MS
        world.store.health[models.STORE] = known._replace(
            in_touch=True, settled_ms=settled_ms
        )
        yield out.LogBelief(
            'store', 'store', 'away', 'answers', f'{type(result).__name__}'
        )
    elif not answers and known.in_touch:
        world.store.health[models.STORE] = known._replace(
            in_touch=False, settled_ms=float('inf'), lost_ms=now_ms
        )
        yield out.LogBelief('store', 'store', 'answers', 'away', f'{result}')
