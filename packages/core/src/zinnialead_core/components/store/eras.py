"""Follow the eras of the store, each begun by a restore from a copy.

Versions go back with a restore and are given out again, so a version says
nothing in another era.
"""

from collections import abc

from zinnialead_core.components.store import models
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def current(world: world_module.World) -> int:
    """Return the highest era that an answer told, 0 before the first."""
    return world.store.era[0]


def is_past(world: world_module.World, era: int) -> bool:
    """Return whether an era is over; 0 stands for an unknown one."""
    return 0 < era < current(world)


def enter(
    world: world_module.World, now_ms: float, era: int, call_id: int
) -> abc.Iterator[out.Output]:
    """Begin an era, if a call tells a later one, and read the state anew."""
    previous_era = current(world)
    if era <= previous_era:
        return
    world.store.era[0] = era
    if previous_era == 0:
        return
    world.counters['store.restored'] += 1
    world.store.version.clear()
    row = world.store.tasks.get(models.Task.STATE)
    if row is None or row.call_id != call_id:
        # The result of a watch that is open no longer plans the next call.
        world.store.tasks[models.Task.STATE] = models.TaskRow(now_ms, None, 0)
    yield out.Notify(inp.StoreRestored(era))
    yield out.LogChange('store', 'era', str(previous_era), str(era))
