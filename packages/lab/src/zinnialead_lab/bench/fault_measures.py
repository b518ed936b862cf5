"""Measure what a scenario's faults are meant to show."""

from collections import abc

from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_lab.bench import const
from zinnialead_lab.bench import models
from zinnialead_lab.bench import scenarios
from zinnialead_lab.bench import spans
from zinnialead_lab import fleet

# A run that outlasts its deadline may have run without any fault.
OVERDUE = verdict.Reason.DEADLINE_PASSED.value


def measure(
    sample: models.Sample, fault: models.Fault
) -> abc.Iterator[models.Measure]:
    """Yield the measures that belong to one fault."""
    match fault:
        case models.Flood(rank):
            yield from _flood(sample, rank)
        case models.BrownOut():
            yield _sends(sample)
        case models.EntryDeath():
            yield _unsure(sample)
            yield from _joins(sample)
        case models.RegionDeath() | models.Rolling():
            yield from _joins(sample)
        case models.UpstreamDrain():
            upstream = scenarios.drained(sample.deployment)
            yield from _drain(sample, frozenset({upstream}))
            yield from _in_force(sample)
        case models.RegionDrain():
            yield from _drain(sample, _region_upstreams(sample))
            yield from _in_force(sample)
        case models.StoreOutage():
            yield from _in_force(sample)
        case _:
            return


def _flood(
    sample: models.Sample, flooding: ids.RankId
) -> abc.Iterator[models.Measure]:
    times = sample.scenario.times
    window = spans.Span(times.fault_ms + const.WARM_UP_MS, times.repair_ms)
    total = _useful_share(sample, window, None)
    yield models.Measure(
        'goodput in flood', 'share', total, models.AtLeast(const.GOODPUT_MIN)
    )
    for row in sample.deployment.state.ranks.values():
        if row.rank == flooding or not row.floor_share:
            continue
        kept = _useful_share(sample, window, row.rank) / row.floor_share
        bound = models.AtLeast(const.FLOOR_KEPT_MIN)
        name = f'{row.rank} kept over floor'
        yield models.Measure(name, 'ratio', kept, bound)


def _useful_share(
    sample: models.Sample, window: spans.Span, rank: ids.RankId | None
) -> float:
    ended = {
        row.work.work_id
        for row in sample.fleet.completions
        if row.verdict is verdict.Verdict.RAN
        and row.ended_ms <= row.work.deadline_ms + const.RETURN_MS
    }
    works = sample.fleet.works
    useful = (
        spans.Span(row.started_ms, row.ended_ms or sample.fleet.now_ms)
        for row in sample.fleet.runs
        if row.work_id in ended and rank in (None, works[row.work_id].rank)
    )
    slots = _usable_slots(sample)
    width_ms = window.to_ms - window.from_ms
    return spans.overlap_ms(useful, window) / (slots * width_ms)


def _usable_slots(sample: models.Sample) -> int:
    # A dead region's slots are not part of the capacity in its absence.
    dead: frozenset[ids.UpstreamId] = frozenset()
    if models.RegionDeath() in sample.scenario.faults:
        dead = _region_upstreams(sample)
    return sum(
        row.slots
        for name, row in sample.deployment.state.upstreams.items()
        if name not in dead
    )


def _sends(sample: models.Sample) -> models.Measure:
    sent = sample.fleet.counters['upstream.sent']
    ratio = sent / max(1, len(sample.fleet.sent_works))
    bound = models.AtMost(const.SENDS_PER_ACCEPTED_MAX)
    return models.Measure('sends per accepted', 'ratio', ratio, bound)


def _unsure(sample: models.Sample) -> models.Measure:
    killed = sample.fleet.kills[0]
    unsure = sum(
        row.verdict is verdict.Verdict.MAY_HAVE_RUN
        and row.work.keyed
        and (row.may_have_run or row.reason != OVERDUE)
        for row in sample.fleet.completions
    )
    bound = models.AtMost(float(killed.in_flight))
    name = 'may-have-run after a death'
    return models.Measure(name, '1', unsure, bound)


def _region_upstreams(sample: models.Sample) -> frozenset[ids.UpstreamId]:
    state = sample.deployment.state
    region = scenarios.last_region(sample.deployment)
    return frozenset(
        name
        for name, row in state.upstreams.items()
        if state.domains[row.domain].region == region
    )


def _drain(
    sample: models.Sample, upstreams: frozenset[ids.UpstreamId]
) -> abc.Iterator[models.Measure]:
    filed_ms = sample.fleet.filed_ms[2]
    runs = [row for row in sample.fleet.runs if row.upstream in upstreams]
    now_ms = sample.fleet.now_ms
    last_ms = max((row.started_ms for row in runs), default=filed_ms)
    ended_ms = max((row.ended_ms or now_ms for row in runs), default=filed_ms)
    in_flight_ms = max(
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
        max(0.0, last_ms - filed_ms),
        models.AtMost(const.LAST_WORK_MAX_MS),
    )
    longest_ms = max(0.0, in_flight_ms) + const.DRAIN_MARGIN_MS
    yield models.Measure(
        'drain time',
        'ms',
        max(0.0, ended_ms - filed_ms),
        models.AtMost(longest_ms),
    )


def _in_force(sample: models.Sample) -> abc.Iterator[models.Measure]:
    bound = models.AtMost(const.TICKET_MAX_MS)
    found = sample.fleet
    for number, filed_ms in found.filed_ms.items():
        # An entry that starts later learns the ticket as it joins.
        taken_ms = [
            _adopted_ms(found, row.ref, number) - filed_ms
            for row in found.entries.values()
            if row.process_state is fleet.ProcessState.RUNNING
            and row.started_ms <= filed_ms
        ]
        name = f'ticket {number} in force everywhere'
        most_ms = max(taken_ms, default=0.0)
        yield models.Measure(name, 'ms', max(0.0, most_ms), bound)


def _joins(sample: models.Sample) -> abc.Iterator[models.Measure]:
    found = sample.fleet
    taken_ms = [
        _adopted_ms(found, row.ref, 1) - row.started_ms
        for row in found.entries.values()
        if row.process_state is fleet.ProcessState.RUNNING
        and row.started_ms > 0.0
    ]
    bound = models.AtMost(const.JOIN_MAX_MS)
    most_ms = max(taken_ms, default=0.0)
    yield models.Measure('longest join', 'ms', most_ms, bound)


def _adopted_ms(found: fleet.Fleet, ref: ids.EntryRef, number: int) -> float:
    times_ms = [
        adopted_ms
        for (holder, adopted), adopted_ms in found.adopted_ms.items()
        if holder == ref and adopted >= number
    ]
    return min(times_ms, default=float('inf'))
