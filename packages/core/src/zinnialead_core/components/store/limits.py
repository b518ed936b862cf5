"""Limit calls to this entry's share of the store's rates."""

from collections import abc

from zinnialead_core import buckets
from zinnialead_core.components.members import queries
from zinnialead_core.components.store import calls
from zinnialead_core.components.store import const
from zinnialead_core.components.store import models
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def open_call(
    world: world_module.World,
    now_ms: float,
    call: calls.Call,
    timeout_ms: float = const.CALL_TIMEOUT_MS,
) -> out.CallStore | None:
    """Return the output that makes a call, None if it is over budget.

    The result arrives as a ``StoreDone`` with the same ``call_id``.
    """
    if not _take_from_budget(world, now_ms, _budget_for(call)):
        world.counters['store.over_budget'] += 1
        return None
    world.store.sequence[0] += 1
    call_id = world.store.sequence[0]
    deadline_ms = now_ms + timeout_ms
    world.store.open_calls[call_id] = models.OpenCallRow(call, deadline_ms)
    return out.CallStore(call_id, call, deadline_ms)


def backoff_ms(world: world_module.World, failures: int) -> float:
    """Return a backoff with full jitter, longer after each failure."""
    longest_ms = const.BACKOFF_MIN_MS * 2.0 ** min(failures, 16)
    limit_ms = min(const.BACKOFF_MAX_MS, longest_ms)
    return world.random.uniform(0.0, limit_ms)


def overdue_calls(
    world: world_module.World, now_ms: float
) -> abc.Iterator[int]:
    """Yield the numbers of the open calls whose result is overdue."""
    for call_id, row in list(world.store.open_calls.items()):
        if now_ms > row.deadline_ms + const.LOST_MARGIN_MS:
            yield call_id


def _budget_for(call: calls.Call) -> models.Budget:
    match call:
        case (
            calls.Create()
            | calls.Update()
            | calls.WriteBindings()
            | calls.WriteState()
        ):
            return models.Budget.WRITES
        case (
            calls.Read()
            | calls.ReadLatest()
            | calls.Watch()
            | calls.ListVms()
            | calls.ReadBindings()
        ):
            return models.Budget.READS


def _take_from_budget(
    world: world_module.World, now_ms: float, budget: models.Budget
) -> bool:
    full = buckets.BucketRow(const.BURST_CALLS, now_ms)
    row = world.store.budgets.get(budget, full)
    per_s = _share_per_s(world, budget)
    take_result = buckets.take(row, now_ms, per_s, const.BURST_CALLS)
    world.store.budgets[budget] = take_result.row
    return take_result.is_allowed


def _share_per_s(world: world_module.World, budget: models.Budget) -> float:
    entries = 1 + sum(1 for _ in queries.live_peers(world))
    match budget:
        case models.Budget.READS:
            return const.FLEET_READS_PER_S / entries
        case models.Budget.WRITES:
            return const.FLEET_WRITES_PER_S / entries
