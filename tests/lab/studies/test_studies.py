"""Test short runs of the studies, with bounds on steady results."""

import math

import pytest

from zinnialead_lab.studies import arrivals
from zinnialead_lab.studies import floods
from zinnialead_lab.studies import outliers
from zinnialead_lab.studies import simulation
from zinnialead_lab.studies import slots


def test_the_owner_waits_little_longer_than_one_ideal_queue():
    row = slots.study(0.9, 1_500, seed=1)
    assert row.owner <= 1.5 * row.one_queue
    assert row.owner < row.fixed_shares


@pytest.mark.parametrize(
    ('servers', 'wait'), [(1, 9.0), (2, 4.26), (6, 1.234), (36, 0.120)]
)
def test_erlangs_formula_gives_the_known_waits(servers, wait):
    assert math.isclose(slots.erlang_wait(0.9, servers), wait, rel_tol=0.01)


@pytest.fixture
def short_flood(monkeypatch):
    monkeypatch.setattr(floods, 'CALM_MS', 3_000.0)
    monkeypatch.setattr(floods, 'FLOOD_MS', 15_000.0)


def test_a_flood_of_urgent_work_keeps_goodput_and_floors(short_flood):
    rows = {row.rank: row for row in floods.study(arrivals.URGENT, 1)}
    assert sum(row.served for row in rows.values()) >= 0.95
    assert rows['normal'].served >= 0.95 * 0.2


def test_retries_do_not_amplify_a_brown_out(short_flood):
    assert floods.sends_per_request(seed=1) <= 1.1


def test_a_failing_upstream_costs_little(monkeypatch):
    monkeypatch.setattr(outliers, 'UNTIL_MS', 16_000.0)
    for condition in outliers.CONDITIONS:
        assert outliers.study(condition, seed=1).served_share >= 0.95


def test_every_arrival_is_answered_or_refused():
    requests = arrivals.poisson(0.95, 300, seed=2)
    finished = simulation.run(requests, queue_max=4)
    assert all(
        (result.answered_ms is None) != (result.refused is None)
        for result in finished.results
    )
