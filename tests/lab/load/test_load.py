"""Test the model of a load and what it counts."""

import pytest

from zinnialead_lab import load
from zinnialead_lab.load import command
from zinnialead_lab.load import report
from zinnialead_lab.load import scenarios


def test_each_caller_gets_one_answer():
    world = load.play(scenarios.burst_of_patient())
    numbers = [row.caller.number for row in world.results]
    assert len(numbers) == len(set(numbers))
    assert not world.pending


def test_a_seed_gives_the_same_results_each_time():
    first, second = (
        report.summarize(load.play(scenarios.short_region(seed=3)))
        for _ in range(2)
    )
    assert first == second


def test_a_load_within_the_slots_is_served():
    total = report.total(load.play(scenarios.steady()))
    assert total.failed + total.refused < 0.01 * total.owed


def test_the_command_prints_each_kind(capsys):
    assert command.main('steady', 1) == 0
    printed = capsys.readouterr().out
    for kind in scenarios.steady().kinds:
        assert f'\n{kind.name} ' in printed


def test_an_unknown_scenario_is_an_error(capsys):
    assert command.main('other', 1) == 2
    assert 'known: steady' in capsys.readouterr().err


@pytest.mark.parametrize('name', list(scenarios.SCENARIOS))
def test_no_upstream_runs_more_than_its_slots(name):
    world = load.play(scenarios.SCENARIOS[name](2)._replace(length_ms=2e3))
    for row in world.upstreams.values():
        assert len(row.running) <= row.service.slots
