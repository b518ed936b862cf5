"""Test the placement of upstreams that break the protocol."""

import pytest

from core.gateway import samples
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway import timers
from zinnialead_core import verdict

ADDRESS = samples.upstream('u-1').address
STRAYS = [models.StrayAnswer(), models.StrayBytes()]
UNUSABLE = [
    models.MalformedAnswer('no status'),
    models.EndlessAnswer('over 1 MB'),
]
FAULTS = [*STRAYS, *UNUSABLE]


def feed_fault(world, now_ms, fault):
    return samples.feed(world, now_ms, inp.UpstreamFaulty(ADDRESS, fault))


def serve(world, now_ms, number):
    """Let the upstream that is chosen for a request answer it."""
    arrival = samples.arrival(number, key='7')
    sent = samples.single_dispatch(samples.feed(world, now_ms, arrival))
    done = samples.attempt_done(sent, verdict.Answered(200))
    samples.feed(world, now_ms, done)
    return sent.upstream


def state_changes(outputs):
    return [
        (x.subject, x.before, x.after)
        for x in samples.of_type(outputs, out.LogStateChange)
    ]


@pytest.mark.parametrize('fault', STRAYS)
def test_an_upstream_that_repeats_answers_is_avoided(fault):
    world = samples.serving_world()
    for number in range(5):
        feed_fault(world, 1.0, fault)
        serve(world, 1.0, number)
    assert loads.is_suspect(world, 'u-1')
    chosen = {serve(world, 2.0, number) for number in range(10, 20)}
    assert chosen == {'u-2'}


@pytest.mark.parametrize('fault', FAULTS)
def test_faults_in_a_row_are_logged_once(fault):
    world = samples.serving_world()
    changes = []
    for number in range(50):
        changes += state_changes(feed_fault(world, float(number), fault))
    assert changes == [('u-1', 'sound', 'faulty')]
    balance = inp.TimerDue(timers.BalanceRound())
    assert not state_changes(samples.feed(world, 60.0, balance))
    end_ms = 50.0 + const.FAULTY_MS
    changes = state_changes(samples.feed(world, end_ms, balance))
    assert changes == [('u-1', 'faulty', 'sound')]
    counts = [v for k, v in world.counters.items() if 'upstreams.' in k]
    assert counts == [50]


@pytest.mark.parametrize('fault', UNUSABLE)
def test_an_upstream_is_ejected_after_one_unusable_answer(fault):
    world = samples.serving_world()
    feed_fault(world, 1.0, fault)
    assert loads.is_excluded(world, 2.0, 'u-1')
    assert {serve(world, 2.0, number) for number in range(20)} == {'u-2'}


@pytest.mark.parametrize('fault', UNUSABLE)
def test_a_sound_answer_does_not_end_an_ejection_for_a_fault(fault):
    world = samples.serving_world()
    sent = [
        samples.single_dispatch(
            samples.feed(world, 1.0, samples.arrival(n, key=str(n)))
        )
        for n in range(4)
    ]
    feed_fault(world, 2.0, fault)
    for dispatch in sent:
        done = samples.attempt_done(dispatch, verdict.Answered(200))
        samples.feed(world, 3.0, done)
    assert loads.is_excluded(world, 4.0, 'u-1')


def test_a_fault_at_an_unknown_address_is_ignored():
    world = samples.serving_world()
    fault = inp.UpstreamFaulty('127.0.0.1:1', models.StrayBytes())
    assert not samples.feed(world, 1.0, fault)
