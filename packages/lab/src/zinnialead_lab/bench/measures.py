"""Measure a finished run against the promises and the bounds."""

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

UNBOUND = models.Unbound()
NONE = models.AtMost(0.0)


def measure(sample: models.Sample) -> abc.Iterator[models.Measure]:
    """Yield every measure of a run."""
    yield from promises(sample)
    yield from _caps(sample)
    yield from _service(sample)
    for fault in sample.scenario.faults:
        yield from fault_measures.measure(sample, fault)


def promises(sample: models.Sample) -> abc.Iterator[models.Measure]:
    """Yield how often each promise was broken."""
    broken = oracle.check(sample.fleet)
    counters = sample.fleet.counters
    yield models.Measure('double runs', '1', broken.double_runs, NONE)
    yield models.Measure('false not-run', '1', broken.false_not_run, NONE)
    yield models.Measure('part answers', '1', broken.mismatched_answers, NONE)
    reverted = broken.reverted_tickets
    yield models.Measure('reverted tickets', '1', reverted, NONE)
    cut = counters['stop.cut']
    yield models.Measure('cut by planned stops', '1', cut, NONE)


def latencies(sample: models.Sample, rank: str) -> hdrh.HdrHistogram:
    """Return the latencies of a rank's answered work in us."""
    found = hdrh.HdrHistogram(
        1, const.HISTOGRAM_MAX_US, const.HISTOGRAM_DIGITS
    )
    for row in sample.fleet.completions:
        if row.work.rank == rank and row.verdict is verdict.Verdict.RAN:
            taken_ms = row.ended_ms - row.work.arrived_ms
            found.record_value(int(taken_ms * const.US_PER_MS))
    return found


def p99_ms(sample: models.Sample, rank: str) -> float:
    """Return the 99th percentile of a rank's latency."""
    value_us = latencies(sample, rank).get_value_at_percentile(99.0)
    return float(value_us / const.US_PER_MS)


def served(sample: models.Sample) -> abc.Iterator[fleet.CompletionRow]:
    """Yield the work that was answered by its deadline."""
    for row in sample.fleet.completions:
        due_ms = row.work.deadline_ms + const.RETURN_MS
        ran = row.verdict is verdict.Verdict.RAN
        if ran and row.is_own_answer and row.ended_ms <= due_ms:
            yield row


def _service(sample: models.Sample) -> abc.Iterator[models.Measure]:
    ranks = sample.deployment.state.ranks
    asked = collections.Counter(
        work.rank for work in sample.fleet.works.values()
    )
    answered = collections.Counter(row.work.rank for row in served(sample))
    worth = sum(ranks[rank].worth * n for rank, n in answered.items())
    bound = _worth_bound(sample.scenario)
    yield models.Measure('worth served', 'worth', worth, bound)
    for rank in ranks:
        if not asked[rank]:
            continue
        found = latencies(sample, rank)
        for percentile in (50.0, 99.0):
            taken_ms = (
                found.get_value_at_percentile(percentile) / const.US_PER_MS
            )
            name = f'{rank} p{percentile:.0f}'
            yield models.Measure(name, 'ms', taken_ms, UNBOUND)
        share = answered[rank] / asked[rank]
        yield models.Measure(f'{rank} served', 'share', share, UNBOUND)
    unsure = sum(
        row.verdict is verdict.Verdict.MAY_HAVE_RUN and row.work.keyed
        for row in sample.fleet.completions
    )
    yield models.Measure('may-have-run answers', '1', unsure, UNBOUND)
    yield models.Measure('mean wait', 'ms', mean_wait_ms(sample), UNBOUND)


def _worth_bound(scenario: models.Scenario) -> models.Bound:
    match scenario.faults:
        case (models.Calm() | models.OnePool(),):
            return UNBOUND
        case _:
            return models.AboveBaseline()


def mean_wait_ms(sample: models.Sample) -> float:
    """Return the mean time between the arrival and the start of a run."""
    works = sample.fleet.works
    waits = [
        row.started_ms - works[row.work_id].arrived_ms
        for row in sample.fleet.runs
    ]
    return sum(waits) / max(1, len(waits))


def erlang_ratio(sample: models.Sample) -> float:
    """Return the mean wait over Erlang's value for one pool."""
    state = sample.deployment.state
    [service] = state.services
    count = deployments.slots(state, service)
    factor = erlang.wait_factor(count, sample.scenario.load)
    expected_ms = factor * state.services[service].service_time_ms
    return mean_wait_ms(sample) / expected_ms


def _caps(sample: models.Sample) -> abc.Iterator[models.Measure]:
    state = sample.deployment.state
    most_shift = most_load = 0.0
    for cap in state.caps.values():
        match cap:
            case tickets.ShiftCap():
                share = _shift_share(sample, cap)
                most_shift = max(most_shift, share)
            case tickets.RegionLimit():
                most_load = max(most_load, _load_share(sample, cap))
    bound = models.AtMost(1.0)
    yield models.Measure('largest shift over cap', 'ratio', most_shift, bound)
    yield models.Measure('region load over limit', 'ratio', most_load, bound)


def _shift_share(sample: models.Sample, cap: tickets.ShiftCap) -> float:
    domains = sample.deployment.state.domains
    upstreams = sample.deployment.state.upstreams
    times_ms = [
        row.started_ms
        for row in sample.fleet.runs
        if sample.fleet.entries[row.entry].region == cap.from_region
        and domains[upstreams[row.upstream].domain].region == cap.to_region
    ]
    most = spans.most_in_window(times_ms, const.MS_PER_S)
    return most / cap.requests_per_s


def _load_share(sample: models.Sample, limit: tickets.RegionLimit) -> float:
    domains = sample.deployment.state.domains
    upstreams = sample.deployment.state.upstreams
    standing = (
        spans.Span(row.started_ms, row.ended_ms or sample.fleet.now_ms)
        for row in sample.fleet.runs
        if upstreams[row.upstream].service == limit.service
        and domains[upstreams[row.upstream].domain].region == limit.region
    )
    return spans.most_at_once(standing) / limit.in_flight
