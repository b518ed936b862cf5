"""Bound a stop, so that every request is answered before the process ends.

A stopping entry admits no request.  Those in progress get a deadline that
leaves time to cancel attempts and to send answers.
"""

from collections import abc

from zinnialead_core.components.requests import const
from zinnialead_core.components.requests import models
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def begin(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Admit no request from now on, and bound those in progress."""
    if world.requests.stopping:
        return
    grace_end_ms = now_ms + world.node.stop_grace_ms
    answer_by_ms = max(now_ms, grace_end_ms - const.STOP_RESERVE_MS)
    world.requests.stopping.append(models.StopRow(answer_by_ms))
    stop_due_ms = answer_by_ms + const.STOP_CANCEL_MS
    timers.start(world.timers, timers.StopDue(), stop_due_ms)
    for row in list(world.requests.rows.values()):
        if row.phase is not models.Phase.ENDING:
            _bound(world, row, answer_by_ms)
    yield out.StopStarted()


def is_bound(world: world_module.World, row: models.RequestRow) -> bool:
    """Return whether the stop, not the caller, set a request's deadline."""
    return any(
        row.deadline_ms >= stop.answer_by_ms
        for stop in world.requests.stopping
    )


def refusal(row: models.RequestRow) -> verdict.Refusal:
    """Return the refusal of a request that the stop ends."""
    if row.phase in models.AT_UPSTREAM:
        return verdict.Refusal(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.STOP_ENDED,
            f'this entry stopped during attempt {row.attempt}',
        )
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.STOPPING,
        'this entry is stopping',
    )


def log_end(
    world: world_module.World, row: models.RequestRow
) -> out.LogChange:
    """Return the log line of a request that the stop ends."""
    request = '.'.join(map(str, (*world.node.ref, row.request_id)))
    return out.LogChange(
        'requests',
        request,
        f'{row.phase.value}, attempt {row.attempt}',
        f'ended by the stop, {refusal(row).verdict.value}',
    )


def _bound(
    world: world_module.World, row: models.RequestRow, answer_by_ms: float
) -> None:
    if row.deadline_ms <= answer_by_ms:
        return
    world.requests.rows[row.request_id] = row._replace(
        deadline_ms=answer_by_ms
    )
    deadline = timers.RequestDeadline(row.request_id)
    timers.start(world.timers, deadline, answer_by_ms)
