"""Bound a stop, so that every request is answered before the process ends.

A stopping entry admits no request.  Those in progress get a deadline that
leaves time to cancel attempts and to send answers, and what can't be expected
to end by then is not sent.
"""

from collections import abc

from zinnialead_core import averages
from zinnialead_core.components.requests import const
from zinnialead_core.components.requests import models
from zinnialead_core.components.slots import const as slot_const
from zinnialead_core import ids
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


def can_end(
    world: world_module.World, now_ms: float, row: models.RequestRow
) -> bool:
    """Return whether work sent now may end before the entry answers all."""
    return not is_bound(world, row) or now_ms <= _latest_send_ms(world, row)


def restart_deadline(
    world: world_module.World, row: models.RequestRow
) -> None:
    """Restart the timer that ends a request during a stop.

    Work that was not sent when it could still end is refused at once.
    """
    if not is_bound(world, row):
        return
    due_ms = row.deadline_ms
    if row.phase not in models.AT_UPSTREAM:
        due_ms = _latest_send_ms(world, row)
    deadline = timers.RequestDeadline(row.request_id)
    timers.start(world.timers, deadline, due_ms)


def record_service_time(
    world: world_module.World, service: ids.ServiceId, elapsed_ms: float
) -> None:
    """Add an answered attempt to the time that a service's work takes."""
    world.requests.service_times_ms[service] = averages.add(
        _service_time_ms(world, service),
        elapsed_ms,
        slot_const.SERVICE_TIME_WEIGHT,
    )


def refusal(row: models.RequestRow) -> verdict.Refusal:
    """Return the refusal of a request that the stop ends."""
    if (
        row.phase in models.AT_UPSTREAM
        or row.worst_verdict is verdict.Verdict.MAY_HAVE_RUN
    ):
        return verdict.Refusal(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.STOP_ENDED,
            f'this entry stopped after {row.attempt} attempts',
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
    row = row._replace(deadline_ms=answer_by_ms)
    world.requests.rows[row.request_id] = row
    restart_deadline(world, row)


def _latest_send_ms(
    world: world_module.World, row: models.RequestRow
) -> float:
    average_ms = _service_time_ms(world, row.service)
    margin_ms = average_ms.deviation * slot_const.SERVICE_TIME_DEVIATIONS
    return row.deadline_ms - average_ms.mean - margin_ms


def _service_time_ms(
    world: world_module.World, service: ids.ServiceId
) -> averages.AverageRow:
    """Return the measured time of a service's work, else the declared."""
    measured_ms = world.requests.service_times_ms.get(service)
    if measured_ms is not None:
        return measured_ms
    declared = world.states['in-force'].services.get(service)
    return averages.AverageRow(declared.service_time_ms if declared else 0.0)
