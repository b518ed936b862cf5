"""Follow the eras of the store, each begun by a restore from a copy.

Revisions go back with a restore and are given out again, so that they are
compared only within an era.
"""

from collections import abc

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import timer_table


def current(world: world_module.World) -> int:
    """Return the highest era that was reported, 0 before the first."""
    return world.store.health[models.STORE].era


def is_past(world: world_module.World, era: int) -> bool:
    """Return whether an era is over; 0 stands for an unknown one."""
    return 0 < era < current(world)


def enter(
    world: world_module.World, now_ms: float, era: int, cause: str
) -> abc.Iterator[out.Output]:
    """Begin an era, if it is a later one, and list every kind again.

    What is known stays in use, without the revisions of the era before.
    """
    previous_era = current(world)
    if era <= previous_era:
        return
    health = world.store.health[models.STORE]
    world.store.health[models.STORE] = health._replace(era=era)
    if previous_era == 0:
        return
    health = world.store.health[models.STORE]
    world.store.health[models.STORE] = health._replace(restored_ms=now_ms)
    world.counters['store.restored'] += 1
    world.store.behind.clear()
    world.store.unreadable.clear()
    for row in list(world.store.watches.values()):
        _list_again(world, now_ms, row)
    yield out.Notify(inp.StoreRestored(era))
    yield out.LogStateChange(
        'store', 'era', f'{previous_era}', f'{era}', cause
    )


def _list_again(
    world: world_module.World, now_ms: float, row: models.WatchRow
) -> None:
    """List a kind again, that of the entries even if others read."""
    row = models.restart(row)
    due_ms = now_ms
    if row.kind is models.Kind.ENTRIES:
        # Each entry has to register again if the copy lacks it.
        row = row._replace(must_list=True)
        due_ms += world.random.uniform(0.0, const.REGISTRATION_SPREAD_MS)
    world.store.watches[row.kind] = row
    timer = timers.StoreCallDue(row.kind)
    timer_table.start(world.timers, timer, due_ms)
