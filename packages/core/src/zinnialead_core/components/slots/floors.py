"""Choose whose turn it is: the most urgent rank, but for the floors.

Each grant given while a rank waits earns that rank its floor's share of
a grant.  A rank that has earned half a grant goes first and pays a whole
one, so over any run of grants during which it waits it gets its share,
rounded.  When a slot comes back, both are corrected by how long it was
held against the usual time, so that floors are shares of slots' time.
"""

from collections import abc
import math

from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import lines
from zinnialead_core.components.slots import models
from zinnialead_core import ids
from zinnialead_core import world as world_module

NOTHING_SEEN = models.RankLoadRow(0.0, 0.0, 0.0)


def next_ask(
    world: world_module.World, service: ids.ServiceId
) -> ids.AskId | None:
    """Return the ask whose turn it is, or None where none waits."""
    waiting = lines.waiting(world, service)
    if not waiting:
        return None
    rank = _most_urgent(world, waiting)
    owed = max(waiting, key=lambda rank: _load(world, service, rank).credit)
    if _load(world, service, owed).credit >= const.FLOOR_CREDIT_DUE:
        rank = owed
    return lines.first(waiting[rank])


def granted(
    world: world_module.World, service: ids.ServiceId, rank: ids.RankId
) -> None:
    """Give the ranks that waited their shares of a grant to ``rank``.

    Call it while the granted ask is still in its line.
    """
    loads = world.queues.rank_loads
    waiting = lines.waiting(world, service)
    in_order = rank == _most_urgent(world, waiting)
    for other in waiting:
        row = _load(world, service, other)
        earned = row.credit + _owed_share(world, other)
        if other == rank and in_order:
            # A rank that goes in its order neither owes nor is owed.
            earned = 0.0
        elif other == rank:
            earned -= 1.0
        loads[service, other] = row._replace(credit=_bounded(earned))


def used(
    world: world_module.World,
    service: ids.ServiceId,
    rank: ids.RankId,
    grants: float,
) -> None:
    """Correct the credits by what a slot's use came to, in grants."""
    loads = world.queues.rank_loads
    extra = grants - 1.0
    for other in lines.waiting(world, service):
        row = _load(world, service, other)
        share = _owed_share(world, other)
        if share > 0.0:
            earned = row.credit + share * extra
            loads[service, other] = row._replace(credit=_bounded(earned))
    if lines.floor_share(world, rank) > 0.0:
        row = _load(world, service, rank)
        credit = _bounded(row.credit - extra)
        loads[service, rank] = row._replace(credit=credit)


def arrived(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    rank: ids.RankId,
) -> None:
    """Count an ask that arrived into its rank's rate of arrivals."""
    if rank not in world.states['in-force'].ranks:
        return
    row = _load(world, service, rank)
    world.queues.rank_loads[service, rank] = row._replace(
        arrivals=_decayed(row, now_ms) + 1.0, seen_ms=now_ms
    )


def arrivals_per_ms(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    rank: ids.RankId,
) -> float:
    """Return the rate at which asks of a rank arrived lately."""
    row = _load(world, service, rank)
    return _decayed(row, now_ms) / const.ARRIVALS_WINDOW_MS


def _owed_share(world: world_module.World, rank: ids.RankId) -> float:
    return lines.floor_share(world, rank) * const.FLOOR_MARGIN


def _most_urgent(
    world: world_module.World, waiting: abc.Iterable[ids.RankId]
) -> ids.RankId:
    return min(waiting, key=lambda rank: lines.order(world, rank))


def _bounded(credit: float) -> float:
    return max(-const.FLOOR_CREDIT_MAX, min(credit, const.FLOOR_CREDIT_MAX))


def _load(
    world: world_module.World, service: ids.ServiceId, rank: ids.RankId
) -> models.RankLoadRow:
    return world.queues.rank_loads.get((service, rank), NOTHING_SEEN)


def _decayed(row: models.RankLoadRow, now_ms: float) -> float:
    age_ms = max(0.0, now_ms - row.seen_ms)
    return row.arrivals * math.exp(-age_ms / const.ARRIVALS_WINDOW_MS)
