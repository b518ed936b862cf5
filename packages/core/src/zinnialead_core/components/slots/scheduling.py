"""Choose the next ask: the most urgent rank, subject to rank floors.

Each grant made while a rank waits credits that rank with its floor share
of a grant.  A rank with half a grant of credit goes first and is charged
one grant, so over any sequence of grants during which it waits it gets
its share, rounded.  When a slot is returned, credits are corrected by
its actual use relative to the mean, so that floors are shares of time.
"""

from collections import abc
import math

from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import models
from zinnialead_core.components.slots import rank_queues
from zinnialead_core import ids
from zinnialead_core import world as world_module

NO_LOAD = models.RankLoadRow(0.0, 0.0, 0.0)


def next_ask(
    world: world_module.World, service: ids.ServiceId
) -> ids.AskId | None:
    """Return the next ask to grant a slot, None if none waits."""
    waiting = rank_queues.by_rank(world, service)
    if not waiting:
        return None
    rank = _most_urgent(world, waiting)
    most_owed = max(
        waiting, key=lambda rank: _rank_load(world, service, rank).credit
    )
    if _rank_load(world, service, most_owed).credit >= const.FLOOR_CREDIT_DUE:
        rank = most_owed
    return rank_queues.first(waiting[rank])


def record_grant(
    world: world_module.World, service: ids.ServiceId, rank: ids.RankId
) -> None:
    """Update the credits of the waiting ranks for a grant to ``rank``.

    Call this while the granted ask is still in its queue.
    """
    loads = world.queues.rank_loads
    waiting = rank_queues.by_rank(world, service)
    in_order = rank == _most_urgent(world, waiting)
    for waiting_rank in waiting:
        row = _rank_load(world, service, waiting_rank)
        new_credit = row.credit + _credit_share(world, waiting_rank)
        if waiting_rank == rank and in_order:
            # A grant in order of urgency settles the credit of its rank.
            new_credit = 0.0
        elif waiting_rank == rank:
            new_credit -= 1.0
        loads[service, waiting_rank] = row._replace(credit=_clamp(new_credit))


def correct_credits(
    world: world_module.World,
    service: ids.ServiceId,
    rank: ids.RankId,
    grants: float,
) -> None:
    """Correct the credits by the actual use of a slot, in grants."""
    loads = world.queues.rank_loads
    extra_grants = grants - 1.0
    for waiting_rank in rank_queues.by_rank(world, service):
        row = _rank_load(world, service, waiting_rank)
        share = _credit_share(world, waiting_rank)
        if share > 0.0:
            new_credit = row.credit + share * extra_grants
            loads[service, waiting_rank] = row._replace(
                credit=_clamp(new_credit)
            )
    if rank_queues.floor_share(world, rank) > 0.0:
        row = _rank_load(world, service, rank)
        credit = _clamp(row.credit - extra_grants)
        loads[service, rank] = row._replace(credit=credit)


def record_arrival(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    rank: ids.RankId,
) -> None:
    """Count an ask in the arrival rate of its rank."""
    if rank not in world.states['in-force'].ranks:
        return
    row = _rank_load(world, service, rank)
    world.queues.rank_loads[service, rank] = row._replace(
        arrivals=_decayed_arrivals(row, now_ms) + 1.0, seen_ms=now_ms
    )


def arrivals_per_ms(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    rank: ids.RankId,
) -> float:
    """Return the recent arrival rate of a rank's asks."""
    row = _rank_load(world, service, rank)
    return _decayed_arrivals(row, now_ms) / const.ARRIVALS_WINDOW_MS


def _credit_share(world: world_module.World, rank: ids.RankId) -> float:
    return rank_queues.floor_share(world, rank) * const.FLOOR_MARGIN_FACTOR


def _most_urgent(
    world: world_module.World, waiting: abc.Iterable[ids.RankId]
) -> ids.RankId:
    return min(waiting, key=lambda rank: rank_queues.rank_order(world, rank))


def _clamp(credit: float) -> float:
    return max(-const.FLOOR_CREDIT_MAX, min(credit, const.FLOOR_CREDIT_MAX))


def _rank_load(
    world: world_module.World, service: ids.ServiceId, rank: ids.RankId
) -> models.RankLoadRow:
    return world.queues.rank_loads.get((service, rank), NO_LOAD)


def _decayed_arrivals(row: models.RankLoadRow, now_ms: float) -> float:
    age_ms = max(0.0, now_ms - row.seen_ms)
    return row.arrivals * math.exp(-age_ms / const.ARRIVALS_WINDOW_MS)
