"""Track the graceful stop of this entry."""

from zinnialead_core.gateway.requests import models
from zinnialead_core.gateway import world as world_module


def begin(world: world_module.World, now_ms: float) -> None:
    """Begin the stop; a repeated signal does not begin it again."""
    world.requests.stops.setdefault(models.STOP, models.StopRow(now_ms))


def elapsed_ms(world: world_module.World, now_ms: float) -> int | None:
    """Return for how long this entry has been stopping, None if it is not."""
    stop = world.requests.stops.get(models.STOP)
    return None if stop is None else round(now_ms - stop.started_ms)
