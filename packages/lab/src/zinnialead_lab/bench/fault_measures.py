"""Measure how well a run withstood the faults of its scenario."""

from collections import abc

from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_lab.bench import const
from zinnialead_lab.bench import models
from zinnialead_lab.bench import scenarios
from zinnialead_lab.bench import spans
from zinnialead_lab import fleet

# Work that outlasts its deadline may end as may-have-run without a fault.
DEADLINE_PASSED = verdict.Reason.DEADLINE_PASSED.value


def measure(
    run: models.ScenarioRun, fault: models.Fault
) -> abc.Iterator[models.Measure]:
    """Yield the measures that belong to one fault."""
    match fault:
        case models.Flood(rank):
            yield from _flood_measures(run, rank)
        case models.BrownOut():
            yield _sends_per_accepted(run)
        case models.EntryDeath():
            yield _uncertain_after_kill(run)
            yield from _longest_join(run)
        case models.RegionDeath() | models.RollingReplacement():
            yield from _longest_join(run)
        case models.UpstreamDrain():
            upstream = scenarios.drained_upstream(run.deployment)
            yield from _drain_measures(run, frozenset({upstream}))
            yield from _ticket_spread(run)
        case models.RegionDrain():
            yield from _drain_measures(run, _region_upstreams(run))
            yield from _ticket_spread(run)
        case models.StoreOutage():
            yield from _ticket_spread(run)
        case _:
            return


def _flood_measures(
    run: models.ScenarioRun, flooding_rank: ids.RankId
) -> abc.Iterator[models.Measure]:
    times = run.scenario.times
    window = spans.Span(times.fault_ms + const.WARM_UP_MS, times.repair_ms)
    goodput = _useful_share(run, window, None)
    yield models.Measure(
        'goodput in flood', 'share', goodput, models.AtLeast(const.GOODPUT_MIN)
    )
    for row in run.deployment.state.ranks.values():
        if row.rank == flooding_rank or not row.floor_share:
            continue
        floor_ratio = _useful_share(run, window, row.rank) / row.floor_share
        bound = models.AtLeast(const.FLOOR_RATIO_MIN)
        name = f'{row.rank} kept over floor'
        yield models.Measure(name, 'ratio', floor_ratio, bound)


def _useful_share(
    run: models.ScenarioRun, window: spans.Span, rank: ids.RankId | None
) -> float:
    answered = {
        row.work.work_id
        for row in run.fleet.completions
        if row.verdict is verdict.Verdict.RAN
        and row.ended_ms <= row.work.deadline_ms + const.RESPONSE_TRAVEL_MAX_MS
    }
    works = run.fleet.works
    useful_spans = (
        spans.Span(row.started_ms, row.ended_ms or run.fleet.now_ms)
        for row in run.fleet.runs
        if row.work_id in answered and rank in (None, works[row.work_id].rank)
    )
    slots = _usable_slots(run)
    width_ms = window.to_ms - window.from_ms
    return spans.overlap_ms(useful_spans, window) / (slots * width_ms)


def _usable_slots(run: models.ScenarioRun) -> int:
    # The slots of a dead region don't count as capacity.
    dead_upstreams: frozenset[ids.UpstreamId] = frozenset()
    if models.RegionDeath() in run.scenario.faults:
        dead_upstreams = _region_upstreams(run)
    return sum(
        row.slots
        for name, row in run.deployment.state.upstreams.items()
        if name not in dead_upstreams
    )


def _sends_per_accepted(run: models.ScenarioRun) -> models.Measure:
    sends = run.fleet.counters['upstream.sent']
    ratio = sends / max(1, len(run.fleet.sent_works))
    bound = models.AtMost(const.SENDS_PER_ACCEPTED_MAX)
    return models.Measure('sends per accepted', 'ratio', ratio, bound)


def _uncertain_after_kill(run: models.ScenarioRun) -> models.Measure:
    kill = run.fleet.kills[0]
    uncertain = sum(
        row.verdict is verdict.Verdict.MAY_HAVE_RUN
        and row.work.keyed
        and (row.may_have_run or row.reason != DEADLINE_PASSED)
        for row in run.fleet.completions
    )
    bound = models.AtMost(float(kill.in_flight))
    name = 'may-have-run after a death'
    return models.Measure(name, '1', uncertain, bound)


def _region_upstreams(run: models.ScenarioRun) -> frozenset[ids.UpstreamId]:
    state = run.deployment.state
    region = scenarios.affected_region(run.deployment)
    return frozenset(
        name
        for name, row in state.upstreams.items()
        if state.domains[row.domain].region == region
    )


def _drain_measures(
    run: models.ScenarioRun, upstreams: frozenset[ids.UpstreamId]
) -> abc.Iterator[models.Measure]:
    # Ticket 2 orders the drain.
    filed_ms = run.fleet.filed_ms[2]
    runs = [row for row in run.fleet.runs if row.upstream in upstreams]
    now_ms = run.fleet.now_ms
    last_start_ms = max((row.started_ms for row in runs), default=filed_ms)
    last_end_ms = max(
        (row.ended_ms or now_ms for row in runs), default=filed_ms
    )
    remaining_ms = max(
        (
            (row.ended_ms or now_ms) - filed_ms
            for row in runs
            if row.started_ms <= filed_ms
        ),
        default=0.0,
    )
    yield models.Measure(
        'last new work after drain',
        'ms',
        max(0.0, last_start_ms - filed_ms),
        models.AtMost(const.LAST_START_MAX_MS),
    )
    drain_max_ms = max(0.0, remaining_ms) + const.DRAIN_MARGIN_MS
    yield models.Measure(
        'drain time',
        'ms',
        max(0.0, last_end_ms - filed_ms),
        models.AtMost(drain_max_ms),
    )


def _ticket_spread(run: models.ScenarioRun) -> abc.Iterator[models.Measure]:
    bound = models.AtMost(const.TICKET_SPREAD_MAX_MS)
    simulation = run.fleet
    for number, filed_ms in simulation.filed_ms.items():
        # An entry that starts after the filing gets the ticket as it joins.
        delays_ms = [
            _adopted_ms(simulation, row.ref, number) - filed_ms
            for row in simulation.entries.values()
            if row.process_state is fleet.ProcessState.RUNNING
            and row.started_ms <= filed_ms
        ]
        name = f'ticket {number} in force everywhere'
        longest_ms = max(delays_ms, default=0.0)
        yield models.Measure(name, 'ms', max(0.0, longest_ms), bound)


def _longest_join(run: models.ScenarioRun) -> abc.Iterator[models.Measure]:
    simulation = run.fleet
    delays_ms = [
        _adopted_ms(simulation, row.ref, 1) - row.started_ms
        for row in simulation.entries.values()
        if row.process_state is fleet.ProcessState.RUNNING
        and row.started_ms > 0.0
    ]
    bound = models.AtMost(const.JOIN_MAX_MS)
    longest_ms = max(delays_ms, default=0.0)
    yield models.Measure('longest join', 'ms', longest_ms, bound)


def _adopted_ms(
    simulation: fleet.Fleet, ref: ids.EntryRef, number: int
) -> float:
    times_ms = [
        adopted_ms
        for (entry, adopted), adopted_ms in simulation.adopted_ms.items()
        if entry == ref and adopted >= number
    ]
    return min(times_ms, default=float('inf'))
