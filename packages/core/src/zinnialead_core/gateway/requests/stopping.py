"""Decide which work a stopping entry can still finish."""

from zinnialead_core.gateway.requests import const
from zinnialead_core.gateway.requests import models
from zinnialead_core.gateway.routes import models as routes
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import timer_table


def begin(world: world_module.World, now_ms: float) -> None:
    """Begin the stop; a repeated signal does not extend it."""
    if models.STOP in world.requests.stops:
        return
    grace_ms = world.node.bounds.grace_ms
    admit_ms = min(const.STOP_ADMIT_MAX_MS, const.STOP_ADMIT_SHARE * grace_ms)
    stop = models.StopRow(
        started_ms=now_ms,
        admit_until_ms=now_ms + admit_ms,
        answer_by_ms=now_ms + const.STOP_ANSWER_SHARE * grace_ms,
    )
    world.requests.stops[models.STOP] = stop
    timer_table.start(world.timers, timers.StopDeadline(), stop.answer_by_ms)


def elapsed_ms(world: world_module.World, now_ms: float) -> int | None:
    """Return for how long this entry has been stopping, None if it is not."""
    stop = world.requests.stops.get(models.STOP)
    return None if stop is None else round(now_ms - stop.started_ms)


def may_finish(
    world: world_module.World,
    now_ms: float,
    route: routes.RouteRow,
    deadline_ms: float,
) -> bool:
    """Return whether work that starts now is answered before a stop ends."""
    stop = world.requests.stops.get(models.STOP)
    if stop is None or deadline_ms <= stop.answer_by_ms:
        return True
    usual_ms = world.placement.mean_service_ms.get(route.name, route.target_ms)
    expected_ms = now_ms + const.STOP_SERVICE_TIMES * usual_ms
    return now_ms <= stop.admit_until_ms and expected_ms <= stop.answer_by_ms
