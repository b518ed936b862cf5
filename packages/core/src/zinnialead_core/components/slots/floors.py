"""Choose whose turn it is: the most urgent rank, but for the floors.

Each grant given while a rank waits earns that rank its floor's share of
a grant. A rank that has earned a whole grant goes first, so over any
run of grants during which it waits it gets its share, less two.
"""

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
    rank = min(waiting, key=lambda rank: lines.order(world, rank))
    owed = max(waiting, key=lambda rank: _load(world, service, rank).credit)
    if _load(world, service, owed).credit >= 1.0:
        rank = owed
    return lines.first(waiting[rank])


def granted(
    world: world_module.World, service: ids.ServiceId, rank: ids.RankId
) -> None:
    """Give the ranks that waited their shares of a grant to ``rank``.

    Call it while the granted ask is still in its line.
    """
    loads = world.queues.rank_loads
    for waiting in lines.waiting(world, service):
        row = _load(world, service, waiting)
        earned = row.credit + lines.floor_share(world, waiting)
        if waiting == rank:
            earned = max(0.0, earned - 1.0)
        credit = min(earned, const.FLOOR_CREDIT_MAX)
        loads[service, waiting] = row._replace(credit=credit)


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


def _load(
    world: world_module.World, service: ids.ServiceId, rank: ids.RankId
) -> models.RankLoadRow:
    return world.queues.rank_loads.get((service, rank), NOTHING_SEEN)


def _decayed(row: models.RankLoadRow, now_ms: float) -> float:
    age_ms = max(0.0, now_ms - row.seen_ms)
    return row.arrivals * math.exp(-age_ms / const.ARRIVALS_WINDOW_MS)
