"""Let an answer begin before its end is known."""

from collections import abc

from zinnialead_core.components.requests import models
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def started(
    world: world_module.World, request_id: ids.RequestId, attempt: int
) -> abc.Iterator[out.Output]:
    """Relay an answer as it comes; after this there is no retry."""
    row = world.requests.rows.get(request_id)
    current = row is not None and row.attempt == attempt
    if row is None or not current or row.phase is not models.Phase.UPSTREAM:
        world.counters['requests.late_answer'] += 1
        yield out.CancelDispatch(request_id, attempt)
        return
    world.requests.rows[request_id] = row._replace(phase=models.Phase.ANSWER)
    world.counters['requests.streamed'] += 1
    yield out.Relay(request_id, attempt)
