"""Process the reports of upstreams and the changes of tickets."""

from collections import abc

from zinnialead_core.components.slots import local_config
from zinnialead_core.components import tickets
from zinnialead_core.components.upstreams import const
from zinnialead_core.components.upstreams import models
from zinnialead_core.components.upstreams import outliers
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Record reports, and upstreams that were added, removed or drained.

    Reads ``states`` and ``queues``; writes ``upstreams`` and the peaks
    of ``queues``.
    """
    for event in inputs:
        match event:
            case inp.UpstreamReport():
                yield from _record_report(world, now_ms, event)
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
    returned = row.leaving and not report.leaving
    row = _record_load(world, row, report)._replace(
        healthy=report.healthy,
        leaving=report.leaving,
        reported_ms=now_ms,
        ramp_start_ms=now_ms if returned else row.ramp_start_ms,
    )
    world.upstreams[report.upstream] = row
    if not (report.healthy or row.on_trial or _answered_recently(row, now_ms)):
        siblings = local_config.get(world, declared.service).upstreams
        outliers.eject(world, now_ms, row, siblings)
    if before is not None and before.leaving != report.leaving:
        yield out.LogChange(
            'upstreams',
            str(report.upstream),
            _status(before.leaving),
            _status(report.leaving),
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
        elif row.drained and not drained:
            row = row._replace(ramp_start_ms=now_ms)
        world.upstreams[upstream] = row._replace(drained=drained)
    _delete_removed(world, state)


def _delete_removed(world: world_module.World, state: tickets.State) -> None:
    removed: list[ids.UpstreamId] = [
        upstream
        for upstream in world.upstreams
        if upstream not in state.upstreams
    ]
    for upstream in removed:
        del world.upstreams[upstream]
        world.queues.in_use_peaks.pop(upstream, None)
        if not world.queues.in_use.get(upstream):
            world.queues.in_use.pop(upstream, None)


def _status(leaving: bool) -> str:
    return 'leaving' if leaving else 'in service'
