"""Save the progress of a kind and schedule its next call."""

from zinnialead_core.gateway.store import models
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import timer_table


def save(world: world_module.World, row: models.WatchRow) -> None:
    """Replace the row of a kind."""
    world.store.watches[row.kind] = row


def schedule(
    world: world_module.World, kind: models.Kind, due_ms: float
) -> None:
    """Schedule the next call for a kind; replaces an earlier schedule."""
    timer = timers.StoreCallDue(kind)
    timer_table.start(world.timers, timer, due_ms)
