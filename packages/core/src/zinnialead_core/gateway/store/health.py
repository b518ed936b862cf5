"""Track whether the store is available, and log when that changes."""

from collections import abc

from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway.store import readers
from zinnialead_core.gateway import world as world_module


def record_result(
    world: world_module.World, now_ms: float, result: models.Result
) -> abc.Iterator[out.Output]:
    """Update the availability after a call of this entry."""
    if isinstance(result, (models.Failed, models.Refused)):
        health = world.store.health[models.STORE]
        world.store.health[models.STORE] = health._replace(failed_ms=now_ms)
        yield from _mark_unavailable(world, now_ms, f'{result}')
    else:
        yield from _mark_available(world, now_ms, type(result).__name__)


def infer_availability(
    world: world_module.World, now_ms: float, heartbeat: entries.Heartbeat
) -> abc.Iterator[out.Output]:
    """Infer that the store is available from the heartbeat of a reader.

    Only an entry that does not read itself relies on this.
    """
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
        yield from _mark_available(
            world, now_ms, f'heartbeat of {heartbeat.entry}'
        )


def hold_removals(
    world: world_module.World, now_ms: float, delay_ms: float
) -> None:
    """Hold back removals for at least as long as the sending entry does."""
    health = world.store.health[models.STORE]
    hold_until_ms = max(health.hold_until_ms, now_ms + delay_ms)
    world.store.health[models.STORE] = health._replace(
        hold_until_ms=hold_until_ms
    )


def removal_delay_ms(world: world_module.World, now_ms: float) -> float:
    """Return for how long other entries are to hold removals back.

    That this entry's own calls fail does not show an outage to the others.
    """
    hold_until_ms = max(
        world.store.health[models.STORE].hold_until_ms,
        models.renewed_by_ms(world.store),
    )
    left_ms = hold_until_ms - now_ms
    return min(max(0.0, left_ms), const.REMOVAL_DELAY_MS)


def _mark_available(
    world: world_module.World, now_ms: float, cause: str
) -> abc.Iterator[out.Output]:
    health = world.store.health[models.STORE]
    if health.is_available:
        return
    hold_until_ms = health.hold_until_ms
    lost_ms = health.lost_ms
    if lost_ms is not None and now_ms - lost_ms > const.OUTAGE_MIN_MS:
        hold_until_ms = max(hold_until_ms, now_ms + const.REMOVAL_DELAY_MS)
    world.store.health[models.STORE] = health._replace(
        is_available=True, hold_until_ms=hold_until_ms
    )
    yield out.LogStateChange('store', 'store', 'away', 'answers', cause)


def _mark_unavailable(
    world: world_module.World, now_ms: float, cause: str
) -> abc.Iterator[out.Output]:
    health = world.store.health[models.STORE]
    if not health.is_available:
        return
    world.store.health[models.STORE] = health._replace(
        is_available=False, lost_ms=now_ms
    )
    yield out.LogStateChange('store', 'store', 'answers', 'away', cause)
