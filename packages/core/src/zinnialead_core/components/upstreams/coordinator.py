"""Take in what upstreams say of themselves and what tickets say."""

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
    """Record the reports of upstreams, their comings and goings.

    Reads ``states`` and ``queues``; writes ``upstreams`` and the peaks
    of ``queues``.
    """
    for item in inputs:
        match item:
            case inp.UpstreamReport():
                yield from _report(world, now_ms, item)
            case inp.StateChanged():
                _state_changed(world, now_ms)


def _report(
    world: world_module.World, now_ms: float, item: inp.UpstreamReport
) -> abc.Iterator[out.Output]:
    known = world.states['in-force'].upstreams.get(item.upstream)
    if known is None:
        world.counters['upstreams.report_unknown'] += 1
        return
    before = world.upstreams.get(item.upstream)
    row = before or models.HealthRow(item.upstream)
    returned = row.leaving and not item.leaving
    row = _told(world, row, item)._replace(
        healthy=item.healthy,
        leaving=item.leaving,
        heard_ms=now_ms,
        since_ms=now_ms if returned else row.since_ms,
    )
    world.upstreams[item.upstream] = row
    if not (item.healthy or row.on_trial or _is_proved(row, now_ms)):
        siblings = local_config.get(world, known.service).upstreams
        outliers.eject(world, now_ms, row, siblings)
    if before is not None and before.leaving != item.leaving:
        yield out.LogChange(
            'upstreams',
            str(item.upstream),
            _standing(before.leaving),
            _standing(item.leaving),
        )


def _told(
    world: world_module.World,
    row: models.HealthRow,
    item: inp.UpstreamReport,
) -> models.HealthRow:
    """Take in a told load; it lags, so it is held against past peaks."""
    queues = world.queues
    peak = queues.in_use_peaks.get(item.upstream, 0)
    queues.in_use_peaks[item.upstream] = queues.in_use.get(item.upstream, 0)
    told = item.in_flight or 0
    same = told == row.told_in_flight and told > 0
    return row._replace(
        told_in_flight=item.in_flight,
        told_same=row.told_same + 1 if same else 0,
        excess=max(0, told - max(peak, row.last_peak)),
        last_peak=peak,
    )


def _is_proved(row: models.HealthRow, now_ms: float) -> bool:
    if row.proved_ms is None:
        return False
    return now_ms - row.proved_ms <= const.PROOF_MS


def _state_changed(world: world_module.World, now_ms: float) -> None:
    state = world.states['in-force']
    # An entry's first state says nothing of how long upstreams ran.
    since_ms = now_ms if world.upstreams else None
    for upstream, known in state.upstreams.items():
        row = world.upstreams.get(upstream)
        drained = tickets.is_drained(state, known)
        if row is None:
            row = models.HealthRow(upstream, since_ms=since_ms)
        elif row.drained and not drained:
            row = row._replace(since_ms=now_ms)
        world.upstreams[upstream] = row._replace(drained=drained)
    _forget_gone(world, state)


def _forget_gone(world: world_module.World, state: tickets.State) -> None:
    gone: list[ids.UpstreamId] = [
        upstream
        for upstream in world.upstreams
        if upstream not in state.upstreams
    ]
    for upstream in gone:
        del world.upstreams[upstream]
        world.queues.in_use_peaks.pop(upstream, None)
        if not world.queues.in_use.get(upstream):
            world.queues.in_use.pop(upstream, None)


def _standing(leaving: bool) -> str:
    return 'leaving' if leaving else 'in service'
