"""Let requests wait a little for room, the most urgent first."""

from collections import abc

from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.requests import admission
from zinnialead_core.gateway.requests import attempts
from zinnialead_core.gateway.requests import const
from zinnialead_core.gateway.requests import endings
from zinnialead_core.gateway.requests import models
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core import timers as timer_table
from zinnialead_core import verdict


def join(
    world: world_module.World, now_ms: float, row: models.RequestRow
) -> abc.Iterator[out.Output]:
    """Queue a request until there is room or its wait is over."""
    line = world.requests.waiting.setdefault(row.service, {})
    wait_ms = const.WAIT_SHARE_OF_TARGET * row.route.target_ms
    if len(line) >= const.WAITING_MAX or row.deadline_ms <= now_ms + wait_ms:
        yield from _refuse(world, now_ms, row)
        return
    world.requests.rows[row.request_id] = row
    line[row.request_id] = None
    world.counters['requests.waited'] += 1
    timer = timers.WaitDue(row.request_id)
    timer_table.start(world.timers, timer, now_ms + wait_ms)


def leave(world: world_module.World, row: models.RequestRow) -> None:
    """Take a request out of its line."""
    line = world.requests.waiting.get(row.service)
    if line is not None and row.request_id in line:
        del line[row.request_id]
        timer_table.stop(world.timers, timers.WaitDue(row.request_id))


def over(
    world: world_module.World, now_ms: float, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Refuse a request that has waited as long as it may."""
    row = world.requests.rows.get(request_id)
    if row is None or row.phase is not models.Phase.WAITING:
        return
    upstream = attempts.choose(world, now_ms, row)
    if upstream is not None:
        yield from attempts.send(world, now_ms, row, upstream)
        return
    leave(world, row)
    yield from _refuse(world, now_ms, row)


def wake(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> abc.Iterator[out.Output]:
    """Send waiting requests of a service, the most urgent first."""
    line = world.requests.waiting.get(service)
    if not line:
        return
    rows = [world.requests.rows[request_id] for request_id in line]
    rows.sort(key=_urgency)
    for row in rows:
        upstream = attempts.choose(world, now_ms, row)
        if upstream is None:
            # Another object may still have room elsewhere, but one that
            # is more urgent goes first to what comes free.
            return
        yield from attempts.send(world, now_ms, row, upstream)


def wake_all(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Look at every line again after upstreams changed."""
    for service in list(world.requests.waiting):
        yield from wake(world, now_ms, service)


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
    yield from endings.refuse(world, now_ms, row, refusal)
