"""Keep whether the store answers, and tell when that changes."""

from collections import abc

from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway.store import readers
from zinnialead_core.gateway import world as world_module


def note(
    world: world_module.World, now_ms: float, result: models.Result
) -> abc.Iterator[out.Output]:
    """Take in whether a call of this entry was answered."""
    if isinstance(result, (models.Failed, models.Refused)):
        known = world.store.health[models.STORE]
        world.store.health[models.STORE] = known._replace(failed_ms=now_ms)
        yield from _away(world, now_ms, f'{result}')
    else:
        yield from _back(world, now_ms, type(result).__name__)


def heard(
    world: world_module.World, now_ms: float, heartbeat: entries.Heartbeat
) -> abc.Iterator[out.Output]:
    """Take the word of a reader, where this entry makes no calls."""
    row = world.entries.rows.get(heartbeat.entry)
    if (
        not heartbeat.may_read
        or row is None
        or models.is_available(world.store)
    ):
        return
    if row.region == world.node.region and not readers.is_reader(
        world, now_ms
    ):
        yield from _back(world, now_ms, f'heartbeat of {heartbeat.entry}')


def settle(world: world_module.World, now_ms: float, wait_ms: float) -> None:
    """Hold what is missing for as long as the entry that told so does."""
    known = world.store.health[models.STORE]
    removals_held_until_ms = max(
        known.removals_held_until_ms, now_ms + wait_ms
    )
    world.store.health[models.STORE] = known._replace(
        removals_held_until_ms=removals_held_until_ms
    )


def removal_delay_ms(world: world_module.World, now_ms: float) -> float:
    """Return how long what is missing is held from now."""
    left_ms = models.removals_held_until_ms(world.store) - now_ms
    return min(max(0.0, left_ms), const.SETTLE_MS)


def _back(
    world: world_module.World, now_ms: float, cause: str
) -> abc.Iterator[out.Output]:
    known = world.store.health[models.STORE]
    if known.is_available:
        return
    removals_held_until_ms = 0.0
    lost_ms = known.lost_ms
    if lost_ms is not None and now_ms - lost_ms > const.OUTAGE_MIN_MS:
        removals_held_until_ms = now_ms + const.SETTLE_MS
    world.store.health[models.STORE] = known._replace(
        is_available=True, removals_held_until_ms=removals_held_until_ms
    )
    yield out.LogStateChange('store', 'store', 'away', 'answers', cause)


def _away(
    world: world_module.World, now_ms: float, cause: str
) -> abc.Iterator[out.Output]:
    known = world.store.health[models.STORE]
    if not known.is_available:
        return
    world.store.health[models.STORE] = known._replace(
        is_available=False, removals_held_until_ms=float('inf'), lost_ms=now_ms
    )
    yield out.LogStateChange('store', 'store', 'answers', 'away', cause)
