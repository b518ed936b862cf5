"""Measure a finished run: guarantees, caps, served work and latency."""

import collections
from collections import abc

from hdrh import histogram as hdrh
from zinnialead_core.components import tickets
from zinnialead_core import verdict
from zinnialead_lab.bench import const
from zinnialead_lab.bench import deployments
from zinnialead_lab.bench import erlang
from zinnialead_lab.bench import fault_measures
from zinnialead_lab.bench import models
from zinnialead_lab.bench import spans
from zinnialead_lab import fleet
from zinnialead_lab.fleet import oracle

UNBOUNDED = models.Unbounded()
ZERO = models.AtMost(0.0)


def measure(run: models.ScenarioRun) -> abc.Iterator[models.Measure]:
    """Yield every measure of a run."""
    yield from guarantee_violations(run)
    yield from _cap_measures(run)
    yield from _service_measures(run)
    for fault in run.scenario.faults:
        yield from fault_measures.measure(run, fault)


def guarantee_violations(
    run: models.ScenarioRun,
) -> abc.Iterator[models.Measure]:
    """Yield how often each guarantee was violated."""
    violations = oracle.check(run.fleet)
    counters = run.fleet.counters
    yield models.Measure('double runs', '1', violations.double_runs, ZERO)
    yield models.Measure('false not-run', '1', violations.false_not_run, ZERO)
    yield models.Measure(
        'part answers', '1', violations.mismatched_answers, ZERO
    )
    reverted = violations.reverted_tickets
    yield models.Measure('reverted tickets', '1', reverted, ZERO)
    cut = counters['stop.cut']
    yield models.Measure('cut by planned stops', '1', cut, ZERO)


def latencies(run: models.ScenarioRun, rank: str) -> hdrh.HdrHistogram:
    """Return a histogram, in microseconds, of a rank's answered work."""
    histogram = hdrh.HdrHistogram(
        1, const.HISTOGRAM_MAX_US, const.HISTOGRAM_DIGITS
    )
    for row in run.fleet.completions:
        if row.work.rank == rank and row.verdict is verdict.Verdict.RAN:
            latency_ms = row.ended_ms - row.work.arrived_ms
            histogram.record_value(int(latency_ms * const.US_PER_MS))
    return histogram


def p99_ms(run: models.ScenarioRun, rank: str) -> float:
    """Return the 99th percentile of a rank's latency."""
    value_us = latencies(run, rank).get_value_at_percentile(99.0)
    return float(value_us / const.US_PER_MS)


def answered_in_time(
    run: models.ScenarioRun,
) -> abc.Iterator[fleet.CompletionRow]:
    """Yield the completions of work that was answered by its deadline."""
    for row in run.fleet.completions:
        due_ms = row.work.deadline_ms + const.RESPONSE_TRAVEL_MAX_MS
        ran = row.verdict is verdict.Verdict.RAN
        if ran and row.is_own_answer and row.ended_ms <= due_ms:
            yield row


def _service_measures(run: models.ScenarioRun) -> abc.Iterator[models.Measure]:
    ranks = run.deployment.state.ranks
    arrived = collections.Counter(
        work.rank for work in run.fleet.works.values()
    )
    answered = collections.Counter(
        row.work.rank for row in answered_in_time(run)
    )
    worth = sum(ranks[rank].worth * n for rank, n in answered.items())
    bound = _worth_bound(run.scenario)
    yield models.Measure('worth served', 'worth', worth, bound)
    for rank in ranks:
        if not arrived[rank]:
            continue
        histogram = latencies(run, rank)
        for percentile in (50.0, 99.0):
            latency_ms = (
                histogram.get_value_at_percentile(percentile) / const.US_PER_MS
            )
            name = f'{rank} p{percentile:.0f}'
            yield models.Measure(name, 'ms', latency_ms, UNBOUNDED)
        served_share = answered[rank] / arrived[rank]
        yield models.Measure(
            f'{rank} served', 'share', served_share, UNBOUNDED
        )
    uncertain = sum(
        row.verdict is verdict.Verdict.MAY_HAVE_RUN and row.work.keyed
        for row in run.fleet.completions
    )
    yield models.Measure('may-have-run answers', '1', uncertain, UNBOUNDED)
    yield models.Measure('mean wait', 'ms', mean_wait_ms(run), UNBOUNDED)


def _worth_bound(scenario: models.Scenario) -> models.Bound:
    match scenario.faults:
        case (models.Calm() | models.OnePool(),):
            return UNBOUNDED
        case _:
            return models.AboveBaseline()


def mean_wait_ms(run: models.ScenarioRun) -> float:
    """Return the mean time from a work's arrival to its start."""
    works = run.fleet.works
    waits_ms = [
        row.started_ms - works[row.work_id].arrived_ms
        for row in run.fleet.runs
    ]
    return sum(waits_ms) / max(1, len(waits_ms))


def wait_over_erlang(run: models.ScenarioRun) -> float:
    """Return the mean wait divided by the wait that Erlang C predicts."""
    state = run.deployment.state
    [service] = state.services
    slots = deployments.slots(state, service)
    factor = erlang.wait_factor(slots, run.scenario.load)
    expected_ms = factor * state.services[service].service_time_ms
    return mean_wait_ms(run) / expected_ms


def _cap_measures(run: models.ScenarioRun) -> abc.Iterator[models.Measure]:
    state = run.deployment.state
    largest_shift = largest_load = 0.0
    for cap in state.caps.values():
        match cap:
            case tickets.ShiftCap():
                ratio = _shift_ratio(run, cap)
                largest_shift = max(largest_shift, ratio)
            case tickets.RegionLimit():
                largest_load = max(largest_load, _load_ratio(run, cap))
    bound = models.AtMost(1.0)
    yield models.Measure(
        'largest shift over cap', 'ratio', largest_shift, bound
    )
    yield models.Measure(
        'region load over limit', 'ratio', largest_load, bound
    )


def _shift_ratio(run: models.ScenarioRun, cap: tickets.ShiftCap) -> float:
    domains = run.deployment.state.domains
    upstreams = run.deployment.state.upstreams
    times_ms = [
        row.started_ms
        for row in run.fleet.runs
        if run.fleet.entries[row.entry].region == cap.from_region
        and domains[upstreams[row.upstream].domain].region == cap.to_region
    ]
    most_per_s = spans.max_in_window(times_ms, const.MS_PER_S)
    return most_per_s / cap.requests_per_s


def _load_ratio(run: models.ScenarioRun, limit: tickets.RegionLimit) -> float:
    domains = run.deployment.state.domains
    upstreams = run.deployment.state.upstreams
    running = (
        spans.Span(row.started_ms, row.ended_ms or run.fleet.now_ms)
        for row in run.fleet.runs
        if upstreams[row.upstream].service == limit.service
        and domains[upstreams[row.upstream].domain].region == limit.region
    )
    return spans.max_concurrent(running) / limit.in_flight
