"""Read each kind whole, then watch it; tell when the store is away."""

from collections import abc
import typing

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway.store import sharing
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
                timer = timers.StartAskDue()
                due_ms = now_ms + const.START_ASK_MS
                timer_table.start(world.timers, timer, due_ms)
                for kind in models.Kind:
                    yield _call(world, kind)
            case inp.TimerDue(timers.StoreCallDue(kind)):
                if kind in world.store.watches:
                    yield _call(world, models.Kind(kind))
            case inp.StoreDone(kind, result, number) if (
                kind in world.store.watches
            ):
                row = world.store.watches[models.Kind(kind)]
                if row.number == number:
                    yield from _done(world, now_ms, row, result)
            case inp.StoreDone(kind, result):
                yield from _note(world, now_ms, result)
            case inp.KindHeard():
                yield from sharing.heard(world, item)
            case inp.BeatHeard(beat):
                yield from sharing.compare(world, now_ms, beat)
            case inp.TimerDue(timers.StartAskDue()):
                yield from sharing.ask_seeds(world, now_ms)


def _call(world: world_module.World, kind: models.Kind) -> out.CallStore:
    row = world.store.watches[kind]
    row = row._replace(number=row.number + 1)
    world.store.watches[kind] = row
    world.counters[f'store.calls.{kind.value}'] += 1
    if row.revision is None:
        listing = models.ListKind(kind, row.after)
        return out.CallStore(kind, listing, row.number)
    watch = models.WatchKind(kind, row.revision, const.WATCH_WAIT_MS)
    return out.CallStore(kind, watch, row.number)


def _done(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    result: models.Result,
) -> abc.Iterator[out.Output]:
    yield from _note(world, now_ms, result)
    match result:
        case models.Listed():
            yield from _listed(world, now_ms, row, result)
        case models.Changed(items, revision, latest):
            row = row._replace(
                revision=max(revision, row.revision or 0),
                latest=max(latest, row.latest),
                failures=0,
            )
            _keep(world, row)
            for item in items:
                yield out.Notify(typing.cast('inp.Input', item))
            pause_ms = _pause_ms(world, now_ms) if items else 0.0
            _again(world, row.kind, now_ms + pause_ms)
        case models.HistoryGone():
            world.counters['store.history_gone'] += 1
            _keep(world, models.anew(row))
            _again(world, row.kind, now_ms + world.random.uniform(0.0, 100.0))
        case models.Refused(retry_after_ms):
            _back_off(world, now_ms, row, retry_after_ms)
        case _:
            # A watch that is opened again may stay deaf to what changed
            # meanwhile; a list is not.
            _back_off(world, now_ms, models.anew(row), 0.0)


def _pause_ms(world: world_module.World, now_ms: float) -> float:
    begun_ms = world.store.health[models.STORE].begun_ms
    if world.node.first_start and now_ms - begun_ms < const.FIRST_START_MS:
        return const.FIRST_START_PAUSE_MS
    return const.WATCH_PAUSE_MS


def _listed(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    page: models.Listed,
) -> abc.Iterator[out.Output]:
    latest = max(row.latest, page.latest)
    row = row._replace(
        gathered=(*row.gathered, *page.items), latest=latest, failures=0
    )
    if page.next_after is not None:
        _keep(world, row._replace(after=page.next_after))
        _again(world, row.kind, now_ms)
        return
    yield out.Notify(sharing.whole(row.kind, row.gathered, page.revision))
    _keep(world, models.anew(row)._replace(revision=page.revision))
    _again(world, row.kind, now_ms)


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
