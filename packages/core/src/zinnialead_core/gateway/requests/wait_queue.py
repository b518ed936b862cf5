"""Queue requests until an upstream has capacity, most urgent first."""

from collections import abc

from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.requests import admission
from zinnialead_core.gateway.requests import attempts
from zinnialead_core.gateway.requests import completion
from zinnialead_core.gateway.requests import const
from zinnialead_core.gateway.requests import models
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core import timer_table
from zinnialead_core import verdict


def enqueue(
    world: world_module.World, now_ms: float, row: models.RequestRow
) -> abc.Iterator[out.Output]:
    """Queue a request; refuse it if the queue is full or time is short.

    It is refused at once as well if no upstream can take it in that time.
    """
    queue = world.requests.queues.setdefault(row.service, {})
    queue_time_ms = const.QUEUE_TIME_SHARE_OF_TARGET * row.route.target_ms
    available_ms = attempts.available_from_ms(world, now_ms, row)
    if available_ms is None or available_ms > now_ms + queue_time_ms:
        yield from _refuse_unservable(world, now_ms, row, available_ms)
        return
    if (
        len(queue) >= const.QUEUE_LENGTH_MAX
        or row.deadline_ms <= now_ms + queue_time_ms
    ):
        yield from _refuse(world, now_ms, row)
        return
    world.requests.rows[row.request_id] = row
    queue[row.request_id] = None
    world.counters['requests.waited'] += 1
    timer = timers.QueueTimeout(row.request_id)
    timer_table.start(world.timers, timer, now_ms + queue_time_ms)


def remove(world: world_module.World, row: models.RequestRow) -> None:
    """Remove a request from its queue, if it is there."""
    queue = world.requests.queues.get(row.service)
    if queue is not None and row.request_id in queue:
        del queue[row.request_id]
        timer_table.stop(world.timers, timers.QueueTimeout(row.request_id))


def time_out(
    world: world_module.World, now_ms: float, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Try a queued request once more at its time limit, then refuse it."""
    row = world.requests.rows.get(request_id)
    if row is None or row.phase is not models.Phase.WAITING:
        return
    upstream = attempts.choose(world, now_ms, row)
    if upstream is not None:
        yield from attempts.send(world, now_ms, row, upstream)
        return
    remove(world, row)
    yield from _refuse(world, now_ms, row)


def send_waiting(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> abc.Iterator[out.Output]:
    """Send queued requests of a service, the most urgent first."""
    queue = world.requests.queues.get(service)
    if not queue:
        return
    rows = [world.requests.rows[request_id] for request_id in queue]
    rows.sort(key=_urgency)
    for row in rows:
        upstream = attempts.choose(world, now_ms, row)
        if upstream is None:
            # Another object's upstreams may still have capacity, but the
            # more urgent request gets what becomes free first.
            return
        yield from attempts.send(world, now_ms, row, upstream)


def send_all_waiting(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Send queued requests of all services after upstreams changed."""
    for service in list(world.requests.queues):
        yield from send_waiting(world, now_ms, service)


def _refuse_unservable(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    available_ms: float | None,
) -> abc.Iterator[out.Output]:
    """Refuse a request that no upstream can take while it waits.

    Callers come back when one can, the most urgent first.
    """
    if available_ms is None:
        yield from _refuse(world, now_ms, row)
        return
    spread_ms = const.RETURN_SPREAD_MS * (row.route.rank + 1)
    retry_after_ms = available_ms - now_ms + spread_ms * world.random.random()
    refusal = admission.not_run_refusal(
        verdict.Reason.NO_UPSTREAM,
        f'no upstream of {row.service} takes work now',
        max(const.RETRY_AFTER_MIN_MS, retry_after_ms),
    )
    yield from completion.refuse(world, now_ms, row, refusal)


def _urgency(row: models.RequestRow) -> tuple[int, float]:
    return (row.route.rank, row.arrived_ms)


def _refuse(
    world: world_module.World, now_ms: float, row: models.RequestRow
) -> abc.Iterator[out.Output]:
    left_ms = row.caller_deadline_ms - now_ms
    retry_after_ms = max(
        const.RETRY_AFTER_MIN_MS,
        const.RETRY_AFTER_SHARE_OF_LEFT * left_ms * world.random.random(),
    )
    refusal = admission.not_run_refusal(
        verdict.Reason.NO_HEADROOM,
        f'no upstream of {row.service} has room for rank {row.route.rank}',
        retry_after_ms,
    )
    yield from completion.refuse(world, now_ms, row, refusal)
