"""Test the bench's arrivals, measures and bounds in the short form."""

import json

import pytest
from zinnialead_lab.bench import arrivals
from zinnialead_lab.bench import coordinator
from zinnialead_lab.bench import deployments
from zinnialead_lab.bench import measures
from zinnialead_lab.bench import models
from zinnialead_lab.bench import report
from zinnialead_lab.bench import scenarios

# Five counts that must be 0, and the ratios of shift to cap and of load to
# limit.
GUARANTEES = 7
DEPLOYMENTS = (deployments.sabarmati(), deployments.umusozi())


def short_job(name: str, deployment: models.Deployment) -> coordinator.Job:
    [scenario] = [row for row in scenarios.short() if row.name == name]
    return coordinator.Job(scenario, deployment, seed=1)


@pytest.mark.parametrize('deployment', DEPLOYMENTS, ids=lambda row: row.name)
def test_a_calm_run_keeps_every_bound(deployment):
    rows = coordinator.compare(short_job('calm 0.7', deployment))
    assert [row for row in rows if not row.holds] == []


@pytest.mark.parametrize(
    'name', ['entry death', 'flood of night', 'upstream drain']
)
def test_a_fault_violates_no_guarantee(name):
    run = coordinator.run_scenario(
        short_job(name, DEPLOYMENTS[1]), is_baseline=False
    )
    guarantees = [
        row
        for row in measures.measure(run)
        if row.bound in (models.AtMost(0.0), models.AtMost(1.0))
    ]
    assert len(guarantees) == GUARANTEES
    violations = [
        row
        for row in guarantees
        if not coordinator.is_within_bound(row.value, None, row.bound)
    ]
    assert violations == []


def test_the_same_seed_gives_the_same_rows():
    calm = short_job('calm 0.7', deployments.umusozi())
    first, second = (
        coordinator.run_scenario(calm, is_baseline=False).fleet
        for _ in range(2)
    )
    assert first.completions == second.completions
    assert first.counters == second.counters


def test_arrivals_match_the_load_of_the_scenario():
    deployment = deployments.sabarmati()
    [scenario] = [row for row in scenarios.full() if row.name == 'calm 0.9']
    works = arrivals.draw_works(scenario, deployment, seed=1)
    slots = sum(row.slots for row in deployment.state.upstreams.values())
    demand_ms = sum(work.demand_ms for work in works)
    offered_load = demand_ms / (slots * scenario.times.end_ms)
    assert offered_load == pytest.approx(0.9, rel=0.1)


def test_a_flood_does_not_change_other_arrivals():
    deployment = deployments.umusozi()
    [flood] = [row for row in scenarios.full() if row.name == 'flood of night']
    calm = flood._replace(faults=(models.Calm(),))

    def urgent_arrivals_ms(scenario: models.Scenario) -> list[float]:
        works = arrivals.draw_works(scenario, deployment, seed=1)
        return [row.arrived_ms for row in works if row.rank == 'urgent']

    assert urgent_arrivals_ms(flood) == urgent_arrivals_ms(calm)


@pytest.mark.parametrize(
    'value, bound, expected',
    [
        (1.0, models.AtMost(1.0), True),
        (1.1, models.AtMost(1.0), False),
        (0.9, models.AtLeast(0.95), False),
        (5.0, models.AboveBaseline(), False),
        (6.0, models.AboveBaseline(), True),
        (0.0, models.Unbounded(), True),
    ],
)
def test_a_bound_is_held_or_broken(value, bound, expected):
    assert coordinator.is_within_bound(value, 5.0, bound) is expected


def test_a_row_is_written_as_a_line():
    row = models.ComparisonRow(
        'calm', 'umusozi', 'x', 'ms', 1.0, None, '<= 2', True
    )
    assert json.loads(json.dumps(report.to_line(row))) == row._asdict()
