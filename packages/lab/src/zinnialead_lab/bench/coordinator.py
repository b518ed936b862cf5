"""Run each scenario with policy and baseline, and compare the two."""

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
    """Describe one comparison, to be made in a worker process."""

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
    policy = run_scenario(job, is_baseline=False)
    baseline = run_scenario(job, is_baseline=True)
    baseline_values = {
        (x.name, x.unit): x.value for x in measures.measure(baseline)
    }
    rows = []
    for measured in [
        *measures.measure(policy),
        *_reference_measures(job, policy),
    ]:
        baseline_value = baseline_values.get((measured.name, measured.unit))
        rows.append(_comparison_row(job, measured, baseline_value))
    return rows


def run_scenario(job: Job, is_baseline: bool) -> models.ScenarioRun:
    """Run a scenario to its end and return the run."""
    simulation = prepare_fleet(job, is_baseline)
    run_to_end(job, simulation)
    return models.ScenarioRun(job.scenario, job.deployment, simulation)


def prepare_fleet(job: Job, is_baseline: bool) -> fleet.Fleet:
    """Return a fleet with the work and faults of a scenario scheduled."""
    deployment = job.deployment
    simulation = fleet.new_fleet(
        deployment.state, deployment.entries_per_domain, job.seed, is_baseline
    )
    fleet.add_work(
        simulation, arrivals.draw_works(job.scenario, deployment, job.seed)
    )
    fleet.add_injections(
        simulation, scenarios.injections(job.scenario, deployment)
    )
    return simulation


def run_to_end(job: Job, simulation: fleet.Fleet) -> None:
    """Run a fleet until the last deadline of its work is over."""
    end_ms = job.scenario.times.end_ms + const.COOL_DOWN_MS
    match job.scenario.faults:
        case (models.OnePool(duration_ms),):
            end_ms = duration_ms + const.ERLANG_DEADLINE_MS
    fleet.run_until(simulation, end_ms)


def is_within_bound(
    value: float, baseline: float | None, bound: models.Bound
) -> bool:
    """Return whether a measured value keeps to its bound."""
    match bound:
        case models.AtMost(most):
            return value <= most
        case models.AtLeast(least):
            return value >= least
        case models.AboveBaseline():
            return baseline is not None and value > baseline
        case models.Unbounded():
            return True


def _reference_measures(
    job: Job, policy: models.ScenarioRun
) -> abc.Iterator[models.Measure]:
    for fault in job.scenario.faults:
        match fault:
            case models.OnePool():
                ratio = measures.wait_over_erlang(policy)
                bound = models.AtMost(const.WAIT_RATIO_MAX)
                name = 'mean wait over Erlang'
                yield models.Measure(name, 'ratio', ratio, bound)
            case models.Flood('night'):
                yield _urgent_p99_ratio(job, policy)


def _urgent_p99_ratio(job: Job, policy: models.ScenarioRun) -> models.Measure:
    calm_scenario = job.scenario._replace(faults=(models.Calm(),))
    without_flood = run_scenario(
        job._replace(scenario=calm_scenario), is_baseline=False
    )
    without_flood_ms = measures.p99_ms(without_flood, 'urgent')
    ratio = measures.p99_ms(policy, 'urgent') / without_flood_ms
    bound = models.AtMost(const.FLOOD_P99_RATIO_MAX)
    return models.Measure('urgent p99 over no flood', 'ratio', ratio, bound)


def _comparison_row(
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
        is_within_bound(measured.value, baseline, measured.bound),
    )


def _bound_text(bound: models.Bound) -> str:
    match bound:
        case models.AtMost(most):
            return f'<= {most:g}'
        case models.AtLeast(least):
            return f'>= {least:g}'
        case models.AboveBaseline():
            return '> baseline'
        case models.Unbounded():
            return ''


def _jobs(seed: int, short: bool) -> abc.Iterator[Job]:
    duration_ms = (
        const.ERLANG_SHORT_DURATION_MS if short else const.ERLANG_DURATION_MS
    )
    if not short:
        one_pool = scenarios.one_pool(duration_ms)
        yield Job(one_pool, deployments.one_pool(), seed)
    selected = scenarios.short() if short else scenarios.full()
    for scenario in selected:
        for new_deployment in (deployments.sabarmati, deployments.umusozi):
            yield Job(scenario, new_deployment(), seed)
