"""Keep repeats within this entry's part of the retry budget.

Every entry holds its repeats to a share of its own requests, and to a part
of the extra repeats by its speed; so the sums hold over all entries.
"""

from zinnialead_core.gateway.requests import const
from zinnialead_core.gateway.requests import models
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids


def arrived(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> None:
    """Count a request for a service."""
    _add(world, now_ms, service, 1, 0)


def may_repeat(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> bool:
    """Return whether one more repeat is within the budget."""
    bounds = world.node.bounds
    _add(world, now_ms, service, 0, 0)
    rows = world.requests.budgets[service]
    requests = sum(row.requests for row in rows)
    repeats = sum(row.repeats for row in rows)
    extra = bounds.retry_extra * _own_part(world)
    allowed = (bounds.retry_share * requests + extra) * const.BUDGET_PART
    return repeats + 1 <= allowed


def _own_part(world: world_module.World) -> float:
    """Return this entry's part of what all share, by its speed."""
    own = world.node.ref.entry
    others = sum(
        row.speed for row in world.entries.rows.values() if row.entry != own
    )
    return world.node.speed / (world.node.speed + others)


def repeated(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> None:
    """Count a repeat at a service."""
    _add(world, now_ms, service, 0, 1)


def _add(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    requests: int,
    repeats: int,
) -> None:
    rows = world.requests.budgets.setdefault(service, [])
    second = int(now_ms // const.SECOND_MS)
    if not rows or rows[-1].second != second:
        rows.append(models.BudgetRow(second, 0, 0))
        span = world.node.bounds.retry_window_ms // const.SECOND_MS
        while rows[0].second <= second - span:
            rows.pop(0)
    last = rows[-1]
    rows[-1] = models.BudgetRow(
        second, last.requests + requests, last.repeats + repeats
    )
