"""Run the short form of the bench."""

import json

import pytest
from zinnialead_lab.bench import arrivals
from zinnialead_lab.bench import coordinator
from zinnialead_lab.bench import deployments
from zinnialead_lab.bench import measures
from zinnialead_lab.bench import models
from zinnialead_lab.bench import report
from zinnialead_lab.bench import scenarios

# Five counts that must be 0, and shift and load over their limits.
PROMISES = 7
DEPLOYMENTS = (deployments.sabarmati(), deployments.umusozi())


def job(name: str, deployment: models.Deployment) -> coordinator.Job:
    [scenario] = [x for x in scenarios.short() if x.name == name]
    return coordinator.Job(scenario, deployment, seed=1)


@pytest.mark.parametrize('deployment', DEPLOYMENTS, ids=lambda x: x.name)
def test_a_calm_run_keeps_every_bound(deployment):
    rows = coordinator.compare(job('calm 0.7', deployment))
    assert [row for row in rows if not row.holds] == []


@pytest.mark.parametrize(
    'name', ['entry death', 'flood of night', 'upstream drain']
)
def test_a_fault_breaks_no_promise(name):
    found = coordinator.sample(job(name, DEPLOYMENTS[1]), plain=False)
    promised = [
        row
        for row in measures.measure(found)
        if row.bound in (models.AtMost(0.0), models.AtMost(1.0))
    ]
    assert len(promised) == PROMISES
    broken = [
        row
        for row in promised
        if not coordinator.holds(row.value, None, row.bound)
    ]
    assert broken == []


def test_the_same_seed_gives_the_same_rows():
    calm = job('calm 0.7', deployments.umusozi())
    first, second = (
        coordinator.sample(calm, plain=False).fleet for _ in range(2)
    )
    assert first.completions == second.completions
    assert first.counters == second.counters


def test_work_comes_at_the_load_asked_for():
    deployment = deployments.sabarmati()
    [scenario] = [x for x in scenarios.full() if x.name == 'calm 0.9']
    works = arrivals.draw(scenario, deployment, seed=1)
    slots = sum(x.slots for x in deployment.state.upstreams.values())
    demand_ms = sum(work.demand_ms for work in works)
    offered = demand_ms / (slots * scenario.times.end_ms)
    assert offered == pytest.approx(0.9, rel=0.1)


def test_a_flood_leaves_the_other_work_as_it_was():
    deployment = deployments.umusozi()
    [flood] = [x for x in scenarios.full() if x.name == 'flood of night']
    calm = flood._replace(faults=(models.Calm(),))

    def urgent(scenario: models.Scenario) -> list[float]:
        works = arrivals.draw(scenario, deployment, seed=1)
        return [x.arrived_ms for x in works if x.rank == 'urgent']

    assert urgent(flood) == urgent(calm)


@pytest.mark.parametrize(
    'value, bound, kept',
    [
        (1.0, models.AtMost(1.0), True),
        (1.1, models.AtMost(1.0), False),
        (0.9, models.AtLeast(0.95), False),
        (5.0, models.AboveBaseline(), False),
        (6.0, models.AboveBaseline(), True),
        (0.0, models.Unbound(), True),
    ],
)
def test_a_bound_is_held_or_broken(value, bound, kept):
    assert coordinator.holds(value, 5.0, bound) is kept


def test_a_row_is_written_as_a_line():
    row = models.ComparisonRow(
        'calm', 'umusozi', 'x', 'ms', 1.0, None, '<= 2', True
    )
    assert json.loads(json.dumps(report.line(row))) == row._asdict()
