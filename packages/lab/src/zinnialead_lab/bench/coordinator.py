"""Run the scenarios, policy beside baseline, and compare."""

from collections import abc
from concurrent import futures
import typing

from zinnialead_lab.bench import arrivals
from zinnialead_lab.bench import const
from zinnialead_lab.bench import deployments
from zinnialead_lab.bench import measures
from zinnialead_lab.bench import models
from zinnialead_lab.bench import scenarios
from zinnialead_lab import fleet


class Job(typing.NamedTuple):
    """Name one comparison, so that a worker process can make it."""

    scenario: models.Scenario
    deployment: models.Deployment
    seed: int


def run(seed: int, short: bool = False) -> list[models.ComparisonRow]:
    """Return the rows of every comparison, in a fixed order."""
    jobs = list(_jobs(seed, short))
    if short:
        return [row for job in jobs for row in compare(job)]
    with futures.ProcessPoolExecutor(const.WORKERS_MAX) as pool:
        return [row for rows in pool.map(compare, jobs) for row in rows]


def compare(job: Job) -> list[models.ComparisonRow]:
    """Return the rows of one scenario at one deployment."""
    policy = sample(job, plain=False)
    baseline = sample(job, plain=True)
    found = {(x.name, x.unit): x.value for x in measures.measure(baseline)}
    rows = []
    for measured in [*measures.measure(policy), *_against(job, policy)]:
        other = found.get((measured.name, measured.unit))
        rows.append(_row(job, measured, other))
    return rows


def sample(job: Job, plain: bool) -> models.Sample:
    """Return one finished run of a scenario."""
    made = prepare(job, plain)
    run_to_end(job, made)
    return models.Sample(job.scenario, job.deployment, made)


def prepare(job: Job, plain: bool) -> fleet.Fleet:
    """Return a fleet with the work and faults of a scenario ahead."""
    deployment = job.deployment
    made = fleet.new_fleet(
        deployment.state, deployment.entries_per_domain, job.seed, plain
    )
    fleet.add_work(made, arrivals.draw(job.scenario, deployment, job.seed))
    fleet.add_injections(made, scenarios.timed(job.scenario, deployment))
    return made


def run_to_end(job: Job, made: fleet.Fleet) -> None:
    """Run a fleet until the last deadline of its work is over."""
    end_ms = job.scenario.times.end_ms + const.TAIL_MS
    match job.scenario.faults:
        case (models.OnePool(duration_ms),):
            end_ms = duration_ms + const.ERLANG_DEADLINE_MS
    fleet.run_until(made, end_ms)


def holds(value: float, baseline: float | None, bound: models.Bound) -> bool:
    """Return whether a measure keeps to its bound."""
    match bound:
        case models.AtMost(most):
            return value <= most
        case models.AtLeast(least):
            return value >= least
        case models.AboveBaseline():
            return baseline is not None and value > baseline
        case models.Unbound():
            return True


def _against(job: Job, policy: models.Sample) -> abc.Iterator[models.Measure]:
    for fault in job.scenario.faults:
        match fault:
            case models.OnePool():
                ratio = measures.erlang_ratio(policy)
                bound = models.AtMost(const.WAIT_RATIO_MAX)
                name = 'mean wait over Erlang'
                yield models.Measure(name, 'ratio', ratio, bound)
            case models.Flood('night'):
                yield _urgent_ratio(job, policy)


def _urgent_ratio(job: Job, policy: models.Sample) -> models.Measure:
    calm = job.scenario._replace(faults=(models.Calm(),))
    without = sample(job._replace(scenario=calm), plain=False)
    before_ms = measures.p99_ms(without, 'urgent')
    ratio = measures.p99_ms(policy, 'urgent') / before_ms
    bound = models.AtMost(const.FLOOD_P99_RATIO_MAX)
    return models.Measure('urgent p99 over no flood', 'ratio', ratio, bound)


def _row(
    job: Job, measured: models.Measure, baseline: float | None
) -> models.ComparisonRow:
    return models.ComparisonRow(
        job.scenario.name,
        job.deployment.name,
        measured.name,
        measured.unit,
        measured.value,
        baseline,
        _bound_text(measured.bound),
        holds(measured.value, baseline, measured.bound),
    )


def _bound_text(bound: models.Bound) -> str:
    match bound:
        case models.AtMost(most):
            return f'<= {most:g}'
        case models.AtLeast(least):
            return f'>= {least:g}'
        case models.AboveBaseline():
            return '> baseline'
        case models.Unbound():
            return ''


def _jobs(seed: int, short: bool) -> abc.Iterator[Job]:
    duration_ms = const.ERLANG_SHORT_MS if short else const.ERLANG_MS
    if not short:
        pool = scenarios.one_pool(duration_ms)
        yield Job(pool, deployments.one_pool(), seed)
    chosen = scenarios.short() if short else scenarios.full()
    for scenario in chosen:
        for make in (deployments.sabarmati, deployments.umusozi):
            yield Job(scenario, make(), seed)
