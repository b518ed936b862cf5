"""Test checking upstreams that may have started again unnoticed."""

import pytest

from core.gateway import samples
from zinnialead_core.gateway.health_checks import const
from zinnialead_core.gateway.health_checks import models
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.routes import models as routes
from zinnialead_core.gateway import timers
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core import notices

WARM_UP_MS = 3_000.0


def new_world(health_path='/health'):
    config = samples.configuration(1)
    row = routes.ServiceRow('specdesk', 800, WARM_UP_MS, 4.3, health_path)
    config = config._replace(services={'specdesk': row})
    return samples.serving_world(config=config)


def disconnect(world, now_ms, name='u-1'):
    address = samples.upstream(name).address
    event = inp.UpstreamDisconnected(address, 'connection refused')
    return samples.feed(world, now_ms, event)


def checks(outputs):
    return samples.of_type(outputs, out.CheckHealth)


def report(world, now_ms, result, name='u-1'):
    return samples.feed(world, now_ms, inp.HealthChecked(name, result))


def is_cold(world, now_ms, name='u-1'):
    return upstreams.is_cold(world, now_ms, name)


def test_an_upstream_that_closed_a_connection_is_checked_and_cold():
    world = new_world()
    (check,) = checks(disconnect(world, 10.0))
    address = samples.upstream('u-1').address
    assert check == out.CheckHealth('u-1', address, '/health')
    assert is_cold(world, 10.0)
    assert not is_cold(world, 10.0, 'u-2')


def test_one_check_at_a_time_is_sent():
    world = new_world()
    disconnect(world, 10.0)
    assert not checks(disconnect(world, 20.0))


def test_an_upstream_that_is_warm_gets_requests_again():
    world = new_world()
    disconnect(world, 10.0)
    report(world, 15.0, models.Answered(0.0))
    assert not is_cold(world, 15.0)
    assert timers.HealthCheckDue('u-1') not in world.timers.due_ms


@pytest.mark.parametrize('told_ms', [2_000.0, 1e12])
def test_an_upstream_is_cold_for_as_long_as_it_says(told_ms):
    world = new_world()
    disconnect(world, 10.0)
    report(world, 15.0, models.Answered(told_ms))
    cold_ms = min(told_ms, const.COLD_MAX_MS)
    assert is_cold(world, 14.0 + cold_ms)
    assert not is_cold(world, 16.0 + cold_ms)


@pytest.mark.parametrize(
    'result', [models.Unreachable('refused'), models.Misdirected()]
)
def test_an_upstream_without_an_answer_is_checked_again(result):
    world = new_world()
    disconnect(world, 0.0)
    now_ms, pauses_ms = 0.0, []
    for _ in range(5):
        report(world, now_ms, result)
        due_ms = world.timers.due_ms[timers.HealthCheckDue('u-1')]
        assert len(checks(samples.feed(world, due_ms))) == 1
        pauses_ms.append(due_ms - now_ms)
        now_ms = due_ms
    assert pauses_ms == [200.0, 400.0, 800.0, 1_000.0, 1_000.0]
    assert is_cold(world, now_ms)


def test_an_unclear_answer_counts_as_warm_after_the_warm_up_time():
    world = new_world()
    disconnect(world, 0.0)
    report(world, 10.0, models.Unclear('status 503'))
    report(world, 9.0 + WARM_UP_MS, models.Unclear('status 503'))
    assert is_cold(world, 9.0 + WARM_UP_MS)
    report(world, 10.0 + WARM_UP_MS, models.Unclear('status 503'))
    assert not is_cold(world, 10.0 + WARM_UP_MS)


def test_the_registration_of_another_run_ends_the_checks():
    world = new_world()
    disconnect(world, 0.0)
    again = samples.upstream('u-1', born_ms=2, revision=2, cold_ms=50.0)
    samples.feed(world, 5.0, inp.UpstreamRegistered(again))
    assert not world.health_checks.rows
    report(world, 6.0, models.Unreachable('timeout'))
    assert timers.HealthCheckDue('u-1') not in world.timers.due_ms
    assert is_cold(world, 54.0)
    assert not is_cold(world, 56.0)


def test_the_same_run_s_registration_does_not_end_the_checks():
    world = new_world()
    disconnect(world, 0.0)
    changed = samples.upstream('u-1', revision=2, slots=7)
    samples.feed(world, 5.0, inp.UpstreamRegistered(changed))
    assert is_cold(world, 6.0)


def test_a_removed_upstream_is_not_checked():
    world = new_world()
    disconnect(world, 0.0)
    samples.feed(world, 1.0, inp.UpstreamDeregistered('u-1'))
    report(world, 2.0, models.Answered(100.0))
    assert not world.health_checks.rows
    assert not is_cold(world, 2.0)


def test_a_leaving_upstream_is_not_checked():
    world = new_world()
    row = samples.upstream('u-1', leaving=True, revision=2)
    samples.feed(world, 1.0, inp.UpstreamRegistered(row))
    assert not checks(disconnect(world, 2.0))


def test_an_upstream_that_begins_to_leave_is_not_checked_again():
    world = new_world()
    disconnect(world, 0.0)
    report(world, 1.0, models.Unreachable('refused'))
    row = samples.upstream('u-1', leaving=True, revision=2)
    samples.feed(world, 2.0, inp.UpstreamRegistered(row))
    assert not checks(samples.feed(world, 201.0))
    assert not world.health_checks.rows


def test_a_drained_domain_s_upstreams_are_not_checked():
    world = new_world()
    samples.feed(world, 0.0, inp.DrainAdded('guj-a'))
    assert not checks(disconnect(world, 1.0))
    assert checks(disconnect(world, 1.0, 'u-2'))
    samples.feed(world, 2.0, inp.DrainAdded('guj-b'))
    report(world, 3.0, models.Unreachable('refused'), 'u-2')
    assert not checks(samples.feed(world, 203.0))
    samples.feed(world, 204.0, inp.DrainRemoved('guj-b'))
    assert checks(samples.feed(world, 603.0))


def test_a_paused_upstream_is_not_checked_before_its_pause_ends():
    world = new_world()
    pause = inp.UpstreamAnnounced(
        'u-1',
        samples.upstream('u-1').address,
        False,
        notices.Pauses(1_000.0),
        'r-1',
    )
    samples.feed(world, 0.0, pause)
    assert not checks(disconnect(world, 1.0))
    assert not checks(samples.feed(world, 999.0))
    assert checks(samples.feed(world, 2_001.0))


def test_a_request_that_waits_is_sent_once_its_upstream_is_confirmed():
    world = new_world()
    disconnect(world, 0.0)
    disconnect(world, 0.0, 'u-2')
    # Two faster entries are those that send to cold upstreams.
    for name in ('entry-2', 'entry-3'):
        row = samples.entry_row(name)
        samples.feed(world, 0.0, inp.EntryRegistered(row))
    world = world._replace(node=world.node._replace(speed=0.1))
    outputs = samples.feed(world, 1.0, samples.arrival())
    assert not samples.of_type(outputs, out.Dispatch)
    outputs = report(world, 2.0, models.Answered(0.0), 'u-1')
    assert samples.single_dispatch(outputs).upstream == 'u-1'


def test_without_a_health_path_an_upstream_is_cold_for_the_warm_up_time():
    world = new_world(health_path='')
    assert not checks(disconnect(world, 10.0))
    assert is_cold(world, 9.0 + WARM_UP_MS)
    assert not is_cold(world, 11.0 + WARM_UP_MS)


def test_an_upstream_is_checked_beside_an_entry_s_first_request_to_it():
    """A store that was slow showed an earlier run to entries that started."""
    world = new_world()
    first = samples.feed(world, 1.0, samples.arrival(1))
    dispatch = samples.single_dispatch(first)
    (check,) = checks(first)
    assert check.upstream == dispatch.upstream
    assert is_cold(world, 1.0, check.upstream)
    report(world, 5.0, models.Answered(0.0), check.upstream)
    again = samples.feed(world, 6.0, samples.arrival(2))
    assert samples.single_dispatch(again).upstream == check.upstream
    assert not checks(again)


def test_nothing_is_checked_at_the_first_start_of_a_deployment():
    world = new_world()
    world = world._replace(node=world.node._replace(first_start=True))
    assert not checks(samples.feed(world, 1.0, samples.arrival(1)))
