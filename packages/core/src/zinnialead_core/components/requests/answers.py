"""Stream answers that are relayed before they are complete."""

from collections import abc

from zinnialead_core.components.requests import models
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def on_started(
    world: world_module.World, request_id: ids.RequestId, attempt: int
) -> abc.Iterator[out.Output]:
    """Relay an answer as it arrives; it is not retried from here on."""
    row = world.requests.rows.get(request_id)
    is_current_attempt = row is not None and row.attempt == attempt
    if (
        row is None
        or not is_current_attempt
        or row.phase is not models.Phase.UPSTREAM
    ):
        world.counters['requests.late_answer'] += 1
        yield out.CancelDispatch(request_id, attempt)
        return
    world.requests.rows[request_id] = row._replace(phase=models.Phase.ANSWER)
    world.counters['requests.streamed'] += 1
    yield out.Relay(request_id, attempt)
