"""Keep a FIFO queue of waiting asks for each service and rank."""

from collections import abc
import math

from zinnialead_core.components.slots import models
from zinnialead_core.components.steering import caps
from zinnialead_core import ids
from zinnialead_core import world as world_module


def append(world: world_module.World, row: models.QueuedRow) -> None:
    """Add an ask at the end of its rank's queue."""
    world.queues.queued[row.ask_id] = row
    service_queues = world.queues.rank_queues.setdefault(row.service, {})
    service_queues.setdefault(row.rank, {})[row.ask_id] = None


def remove(
    world: world_module.World, ask_id: ids.AskId
) -> models.QueuedRow | None:
    """Remove an ask from its queue and return its row, None if absent."""
    row = world.queues.queued.pop(ask_id, None)
    if row is None:
        return None
    service_queues = world.queues.rank_queues[row.service]
    del service_queues[row.rank][ask_id]
    if not service_queues[row.rank]:
        del service_queues[row.rank]
    if not service_queues:
        del world.queues.rank_queues[row.service]
    caps.remove_waiting(world, row.service, row.home_region, ask_id)
    return row


def by_rank(
    world: world_module.World, service: ids.ServiceId
) -> abc.Mapping[ids.RankId, models.RankQueue]:
    """Return the non-empty queues of a service by rank."""
    return world.queues.rank_queues.get(service, {})


def length(world: world_module.World, service: ids.ServiceId) -> int:
    """Return how many asks of a service are queued."""
    return sum(map(len, by_rank(world, service).values()))


def rank_order(world: world_module.World, rank: ids.RankId) -> float:
    """Return a rank's sort key, most urgent first; unknown ranks last."""
    row = world.states['in-force'].ranks.get(rank)
    return row.order if row else math.inf


def floor_share(world: world_module.World, rank: ids.RankId) -> float:
    """Return the share of grants reserved for a rank in an overload."""
    row = world.states['in-force'].ranks.get(rank)
    return row.floor_share if row else 0.0


def last(rank_queue: models.RankQueue) -> ids.AskId:
    """Return the newest ask of a non-empty queue."""
    return next(reversed(rank_queue))


def first(rank_queue: models.RankQueue) -> ids.AskId:
    """Return the oldest ask of a non-empty queue."""
    return next(iter(rank_queue))
