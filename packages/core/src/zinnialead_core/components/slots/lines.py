"""Keep the line of waiting asks of each service and rank."""

from collections import abc
import math

from zinnialead_core.components.slots import models
from zinnialead_core.components.steering import caps
from zinnialead_core import ids
from zinnialead_core import world as world_module


def join(world: world_module.World, row: models.QueuedRow) -> None:
    """Put an ask at the end of its rank's line."""
    world.queues.queued[row.ask_id] = row
    ranks = world.queues.rank_queues.setdefault(row.service, {})
    ranks.setdefault(row.rank, {})[row.ask_id] = None


def leave(
    world: world_module.World, ask_id: ids.AskId
) -> models.QueuedRow | None:
    """Take an ask out of its line, and return what was known of it."""
    row = world.queues.queued.pop(ask_id, None)
    if row is None:
        return None
    ranks = world.queues.rank_queues[row.service]
    del ranks[row.rank][ask_id]
    if not ranks[row.rank]:
        del ranks[row.rank]
    if not ranks:
        del world.queues.rank_queues[row.service]
    caps.leave(world, row.service, row.home_region, ask_id)
    return row


def waiting(
    world: world_module.World, service: ids.ServiceId
) -> abc.Mapping[ids.RankId, models.Line]:
    """Return the lines of a service that are not empty, by rank."""
    return world.queues.rank_queues.get(service, {})


def length(world: world_module.World, service: ids.ServiceId) -> int:
    """Return how many asks of a service wait."""
    return sum(map(len, waiting(world, service).values()))


def order(world: world_module.World, rank: ids.RankId) -> float:
    """Return a rank's place; one that is not in force comes last."""
    row = world.states['in-force'].ranks.get(rank)
    return row.order if row else math.inf


def floor_share(world: world_module.World, rank: ids.RankId) -> float:
    """Return the share of grants that a rank keeps in a flood."""
    row = world.states['in-force'].ranks.get(rank)
    return row.floor_share if row else 0.0


def newest(line: models.Line) -> ids.AskId:
    """Return the last ask of a line that is not empty."""
    return next(reversed(line))


def first(line: models.Line) -> ids.AskId:
    """Return the first ask of a line that is not empty."""
    return next(iter(line))
