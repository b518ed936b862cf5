"""Test placement while other work slows the machines of upstreams."""

import pytest

from core.gateway import samples
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.placement import coordinator as placement
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models
from zinnialead_core import verdict
from zinnialead_lab import load
from zinnialead_lab.load import report
from zinnialead_lab.load import scenarios

SUCCESS = verdict.Answered(200)


def answered(world, now_ms, upstream, elapsed_ms, percent=None, running=1):
    load = inp.ReportedLoad(running, 0, 5, percent)
    result = inp.AttemptDone(1, 1, SUCCESS, elapsed_ms, load)
    loads.record_end(world, now_ms, upstream, 'lookup', result)


@pytest.mark.parametrize(
    ('percent', 'is_suspect'), [(900, False), (100, True)]
)
def test_an_upstream_on_a_busy_machine_does_not_count_as_slow(
    percent, is_suspect
):
    world = samples.serving_world()
    answered(world, 0.0, 'u-2', 100.0)
    for number in range(9):
        answered(world, float(number), 'u-1', 900.0, percent=percent)
    assert loads.is_suspect(world, 'u-1') is is_suspect


def test_a_cancelled_attempt_on_a_busy_machine_is_no_failure():
    world = samples.serving_world()
    for upstream, percent in (('u-1', 400), ('u-2', 100)):
        answered(world, 0.0, upstream, 100.0, percent=percent)
        cancelled = inp.AttemptDone(
            2, 1, verdict.Lost('cancelled'), 300.0, cancelled=True
        )
        loads.record_end(world, 200.0, upstream, 'lookup', cancelled)
    assert loads.get(world, 'u-1').failing == 0.0
    assert loads.get(world, 'u-2').failing > 0.0


def test_an_object_stays_on_its_upstream_while_the_machine_is_slow():
    """Uncached work elsewhere takes longer than cached work that is slowed."""
    world = samples.serving_world()
    request = models.PlacementRequest('specdesk', '7', 1, frozenset(), ())
    preferred = placement.choose(world, 0.0, request)
    for now_ms in range(0, 3_000, 600):
        percent = 250 if now_ms % 1_200 else 100
        answered(world, float(now_ms), preferred, 100.0, percent, running=4)
        assert placement.choose(world, now_ms + 1.0, request) == preferred


@pytest.mark.parametrize('seed', [1, 2])
def test_callers_are_served_while_machines_slow_down_by_turns(seed):
    reported = load.play(scenarios.noisy_machines(seed))
    unreported = scenarios.noisy_machines(seed, is_reported=False)
    expected = report.total(load.play(unreported))
    total = report.total(reported)
    assert total.in_time + total.late >= expected.in_time + expected.late
    assert total.refused_after_wait <= expected.refused_after_wait
