"""Process the reports of upstreams and the changes of tickets."""

from collections import abc

from zinnialead_core.components.slots import local_config
from zinnialead_core.components import tickets
from zinnialead_core.components.upstreams import announcements
from zinnialead_core.components.upstreams import capacity
from zinnialead_core.components.upstreams import const
from zinnialead_core.components.upstreams import messages
from zinnialead_core.components.upstreams import models
from zinnialead_core.components.upstreams import outliers
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core.notices import pauses
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Record reports, announcements, and the changes of a ticket.

    Reads ``states``, ``members`` and ``queues``; writes ``upstreams``,
    ``pauses``, ``timers`` and the peaks of ``queues``.
    """
    for event in inputs:
        match event:
            case inp.UpstreamReport():
                yield from _record_report(world, now_ms, event)
            case inp.UpstreamAnnounced():
                yield from announcements.apply(world, now_ms, event)
            case inp.PeerMessage(sender, messages.UpstreamNotice() as notice):
                yield from announcements.receive(world, now_ms, sender, notice)
            case inp.TimerDue(timers.UpstreamDue(upstream)):
                yield from announcements.end_pause(world, now_ms, upstream)
            case inp.StateChanged():
                _update_upstreams(world, now_ms)


def _record_report(
    world: world_module.World, now_ms: float, report: inp.UpstreamReport
) -> abc.Iterator[out.Output]:
    declared = world.states['in-force'].upstreams.get(report.upstream)
    if declared is None:
        world.counters['upstreams.report_unknown'] += 1
        return
    before = world.upstreams.get(report.upstream)
    row = before or models.HealthRow(report.upstream)
    was_leaving = capacity.is_leaving(before)
    row = _record_load(world, row, report)._replace(
        healthy=report.healthy, leaving=report.leaving, reported_ms=now_ms
    )
    row = announcements.after_report(row, report)
    is_leaving = capacity.is_leaving(row)
    if was_leaving and not is_leaving:
        row = row._replace(ramp_start_ms=now_ms)
    world.upstreams[report.upstream] = row
    if not (report.healthy or row.on_trial or _answered_recently(row, now_ms)):
        siblings = local_config.get(world, declared.service).upstreams
        outliers.eject(world, now_ms, row, siblings)
    if before is not None and was_leaving != is_leaving:
        yield out.LogChange(
            'upstreams',
            str(report.upstream),
            _status(was_leaving),
            _status(is_leaving),
        )


def _record_load(
    world: world_module.World,
    row: models.HealthRow,
    report: inp.UpstreamReport,
) -> models.HealthRow:
    """Compare a reported load with the peaks granted here.

    A report lags, so work granted before the last report counts too.
    """
    queues = world.queues
    peak = queues.in_use_peaks.get(report.upstream, 0)
    queues.in_use_peaks[report.upstream] = queues.in_use.get(
        report.upstream, 0
    )
    reported = report.in_flight or 0
    is_repeated = reported == row.told_in_flight and reported > 0
    return row._replace(
        told_in_flight=report.in_flight,
        repeated_reports=row.repeated_reports + 1 if is_repeated else 0,
        excess=max(0, reported - max(peak, row.previous_peak)),
        previous_peak=peak,
    )


def _answered_recently(row: models.HealthRow, now_ms: float) -> bool:
    if row.answered_ms is None:
        return False
    return now_ms - row.answered_ms <= const.ANSWER_TRUST_MS


def _update_upstreams(world: world_module.World, now_ms: float) -> None:
    state = world.states['in-force']
    # Upstreams of the first state may have run for long: they do not ramp up.
    ramp_start_ms = now_ms if world.upstreams else None
    for upstream, declared in state.upstreams.items():
        row = world.upstreams.get(upstream)
        drained = tickets.is_drained(state, declared)
        if row is None:
            row = models.HealthRow(upstream, ramp_start_ms=ramp_start_ms)
        elif row.address and row.address != declared.address:
            # Another run: what the one before did or said is no more true.
            pauses.forget(world.pauses, upstream)
            row = models.HealthRow(upstream, ramp_start_ms=now_ms)
        elif row.drained and not drained:
            row = row._replace(ramp_start_ms=now_ms)
        world.upstreams[upstream] = row._replace(
            drained=drained, address=declared.address
        )
    _delete_removed(world, state)


def _delete_removed(world: world_module.World, state: tickets.State) -> None:
    removed: list[ids.UpstreamId] = [
        upstream
        for upstream in world.upstreams
        if upstream not in state.upstreams
    ]
    for upstream in removed:
        del world.upstreams[upstream]
        pauses.forget(world.pauses, upstream)
        world.queues.in_use_peaks.pop(upstream, None)
        if not world.queues.in_use.get(upstream):
            world.queues.in_use.pop(upstream, None)


def _status(leaving: bool) -> str:
    return 'leaving' if leaving else 'in service'
