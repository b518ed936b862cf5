"""Hold back the first state from a store that was restored from a copy.

Such a copy may be older than what the peers have in force.  An entry that
starts waits for the number of one of them, or for a short time.
"""

from collections import abc

from zinnialead_core.components.store import const as store_const
from zinnialead_core.components.tickets import const
from zinnialead_core.components.tickets import models
from zinnialead_core import inputs as inp
from zinnialead_core import timers
from zinnialead_core import world as world_module


def must_hold(world: world_module.World, read: inp.StateRead) -> bool:
    """Return whether peers may have a later state than the one read."""
    has_state = world.states[const.IN_FORCE].number > 0
    return not has_state and read.era > store_const.FIRST_ERA


def hold(
    world: world_module.World, now_ms: float, state: models.State
) -> None:
    """Keep a state for later, and start the timer unless it runs."""
    world.spread.held[:] = [state]
    if timers.HeldStateDue() not in world.timers.due_ms:
        due_ms = now_ms + const.HELD_STATE_MS
        timers.start(world.timers, timers.HeldStateDue(), due_ms)


def release(
    world: world_module.World, number: int
) -> abc.Iterator[models.State]:
    """Yield the held state if a peer's number shows that it is not older."""
    if number > 0:
        yield from (x for x in world.spread.held if x.number >= number)


def drop(world: world_module.World) -> None:
    """Forget the held state, since there is one in force."""
    world.spread.held.clear()
    timers.stop(world.timers, timers.HeldStateDue())
