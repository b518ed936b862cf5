"""Keep retries within this entry's share of the retry budget.

Every entry limits its retries to a share of its own requests, and to a
part of the extra retries by its speed, so that the sums over all entries
stay within the budget.
"""

from zinnialead_core.gateway.requests import const
from zinnialead_core.gateway.requests import models
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids


def record_request(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> None:
    """Count a request to a service."""
    _add(world, now_ms, service, 1, 0)


def may_retry(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> bool:
    """Return whether one more retry is within the budget."""
    bounds = world.node.bounds
    _add(world, now_ms, service, 0, 0)
    rows = world.requests.retry_budgets[service]
    requests = sum(row.requests for row in rows)
    retries = sum(row.retries for row in rows)
    extra = bounds.retry_extra * _speed_share(world)
    allowed = (bounds.retry_share * requests + extra) * const.BUDGET_SHARE
    return retries + 1 <= allowed


def _speed_share(world: world_module.World) -> float:
    """Return this entry's share of the speed of all entries."""
    own_entry = world.node.ref.entry
    other_speeds = sum(
        row.speed
        for row in world.entries.rows.values()
        if row.entry != own_entry
    )
    return world.node.speed / (world.node.speed + other_speeds)


def record_retry(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> None:
    """Count a retry to a service."""
    _add(world, now_ms, service, 0, 1)


def _add(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    requests: int,
    retries: int,
) -> None:
    """Add to the row of the current second; drop rows out of the window."""
    rows = world.requests.retry_budgets.setdefault(service, [])
    second = int(now_ms // const.SECOND_MS)
    if not rows or rows[-1].second != second:
        rows.append(models.RetryBudgetRow(second, 0, 0))
        window_s = world.node.bounds.retry_window_ms // const.SECOND_MS
        while rows[0].second <= second - window_s:
            rows.pop(0)
    last = rows[-1]
    rows[-1] = models.RetryBudgetRow(
        second, last.requests + requests, last.retries + retries
    )
