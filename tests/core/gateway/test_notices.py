"""Test what upstreams announce about themselves in their answers."""

import pytest

from core.gateway import samples
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core import notices
from zinnialead_core import verdict

LEAVES = notices.Leaves()


def usable(world):
    return {x.upstream for x in upstreams.usable(world, 'specdesk')}


def announced(world, upstream, notice=LEAVES, is_misdirected=False):
    """Return an announcement in the answer to a request to an upstream."""
    address = world.upstreams.rows[upstream].address
    return inp.UpstreamAnnounced(
        upstream, address, is_misdirected, notice, 'r-1'
    )


def test_an_upstream_that_announces_to_leave_is_unused_at_once():
    world = samples.serving_world()
    outputs = samples.feed(world, 1.0, announced(world, 'u-1'))
    assert usable(world) == {'u-2'}
    (logged,) = samples.of_type(outputs, out.LogStateChange)
    assert (logged.subject, logged.after) == ('u-1', 'leaving')
    assert 'r-1' in logged.cause
    assert not samples.feed(world, 2.0, announced(world, 'u-2'))[1:]


def test_a_request_about_to_be_sent_again_avoids_a_leaving_upstream():
    rows = [samples.upstream(f'u-{n}') for n in range(3)]
    world = samples.serving_world(upstreams_=rows)
    sent = samples.single_dispatch(samples.feed(world, 1.0, samples.arrival()))
    others = {x.upstream for x in rows} - {sent.upstream}
    leaving, stays = sorted(others)
    outputs = samples.feed(
        world,
        2.0,
        announced(world, leaving),
        samples.attempt_done(sent, verdict.Shed()),
    )
    assert samples.single_dispatch(outputs).upstream == stays


@pytest.mark.parametrize('revision', [1, 9])
def test_the_store_does_not_take_an_announcement_back(revision):
    world = samples.serving_world()
    row = world.upstreams.rows['u-1']
    samples.feed(world, 1.0, announced(world, 'u-1'))
    registered = inp.UpstreamRegistered(row._replace(revision=revision))
    samples.feed(world, 2.0, registered)
    samples.feed(world, 3.0, inp.UpstreamsListed((row,), 9))
    assert 'u-1' not in usable(world)


def test_a_run_that_left_and_registers_again_stays_unused():
    world = samples.serving_world()
    row = world.upstreams.rows['u-1']
    samples.feed(world, 1.0, announced(world, 'u-1'))
    samples.feed(world, 2.0, inp.UpstreamDeregistered('u-1'))
    samples.feed(world, 3.0, inp.UpstreamRegistered(row))
    assert 'u-1' not in usable(world)


def test_the_next_run_of_an_upstream_that_left_is_used():
    world = samples.serving_world()
    row = world.upstreams.rows['u-1']
    samples.feed(world, 1.0, announced(world, 'u-1'))
    later = row._replace(born_ms=row.born_ms + 1, revision=2)
    samples.feed(world, 2.0, inp.UpstreamRegistered(later))
    assert usable(world) == {'u-1', 'u-2'}


def test_an_announcement_in_a_misdirected_answer_is_of_the_addresss_owner():
    rows = [
        samples.upstream('u-1', address='127.0.0.1:9'),
        samples.upstream('u-2', address='127.0.0.1:9'),
        samples.upstream('u-3'),
    ]
    world = samples.serving_world(upstreams_=rows)
    samples.feed(world, 1.0, announced(world, 'u-1', is_misdirected=True))
    assert usable(world) == {'u-1', 'u-3'}


def paused(world, upstream, pause_ms):
    return announced(world, upstream, notices.Pauses(pause_ms))


def ask(world, now_ms, *numbers, path='/lookup/1'):
    """Return the upstreams that requests for different objects are sent to."""
    outputs = samples.feed(
        world,
        now_ms,
        *(samples.arrival(x, path=path, key=f'{x}') for x in numbers),
    )
    return {x.upstream for x in samples.of_type(outputs, out.Dispatch)}


def test_a_paused_upstream_gets_no_request_until_the_end_of_its_pause():
    world = samples.serving_world()
    samples.feed(world, 0.0, paused(world, 'u-1', 1_000.0))
    assert ask(world, 1.0, *range(4)) == {'u-2'}
    assert ask(world, 990.0, 4, 5) <= {'u-2'}
    samples.feed(world, 1_000.0)
    assert 'u-1' in ask(world, 2_300.0, *range(10, 20))


def test_a_shorter_pause_does_not_end_a_longer_one():
    world = samples.serving_world()
    samples.feed(world, 0.0, paused(world, 'u-1', 2_000.0))
    samples.feed(world, 10.0, paused(world, 'u-1', 100.0))
    samples.feed(world, 200.0)
    assert ask(world, 1_900.0, *range(4)) == {'u-2'}


def test_an_answer_during_a_pause_does_not_end_it():
    world = samples.serving_world(upstreams_=[samples.upstream('u-1')])
    sent = samples.single_dispatch(samples.feed(world, 0.0, samples.arrival()))
    samples.feed(world, 1.0, paused(world, 'u-1', 1_000.0))
    done = samples.attempt_done(sent, verdict.Answered(200))
    samples.feed(world, 100.0, done)
    assert ask(world, 101.0, 2) == set()


def test_a_pause_ends_with_the_upstreams_run():
    world = samples.serving_world(upstreams_=[samples.upstream('u-1')])
    samples.feed(world, 0.0, paused(world, 'u-1', 9_000.0))
    later = samples.upstream('u-1', born_ms=2, revision=2)
    samples.feed(world, 100.0, inp.UpstreamRegistered(later))
    assert ask(world, 101.0, 1) == {'u-1'}
    samples.feed(world, 9_000.0)


def test_the_end_of_a_former_runs_pause_does_not_hold_back_the_next_run():
    world = samples.serving_world(upstreams_=[samples.upstream('u-1')])
    samples.feed(world, 0.0, paused(world, 'u-1', 1_000.0))
    later = samples.upstream('u-1', born_ms=2, revision=2)
    samples.feed(world, 100.0, inp.UpstreamRegistered(later))
    assert ask(world, 101.0, 1) == {'u-1'}
    outputs = samples.feed(world, 1_000.0)
    assert not samples.of_type(outputs, out.LogStateChange)
    assert world.loads['u-1'].others == 0


def test_a_very_long_pause_does_not_lose_the_upstream():
    world = samples.serving_world(upstreams_=[samples.upstream('u-1')])
    samples.feed(world, 0.0, paused(world, 'u-1', 1e15))
    assert ask(world, 59_000.0, 1) == set()
    samples.feed(world, 60_000.0)
    assert ask(world, 62_000.0, 2) == {'u-1'}


def test_a_pause_of_unreadable_length_is_counted_and_not_kept():
    world = samples.serving_world(upstreams_=[samples.upstream('u-1')])
    odd = notices.UnreadablePause('Wed, 21 Oct')
    outputs = samples.feed(world, 0.0, announced(world, 'u-1', odd))
    assert samples.of_type(outputs, out.LogStateChange)
    assert world.counters['placement.unreadable_pauses'] == 1
    assert ask(world, 1.0, 1) == {'u-1'}


def test_after_a_pause_the_most_urgent_requests_return_first():
    urgent = samples.route('urgent', rank=0)
    patient = samples.route('patient', rank=2)
    rows = [samples.upstream('u-1')]
    world = samples.serving_world(urgent, patient, upstreams_=rows)
    samples.feed(world, 0.0, paused(world, 'u-1', 1_000.0))
    samples.feed(world, 1_000.0)
    assert ask(world, 1_010.0, 1, path='/patient/1') == set()
    assert ask(world, 1_010.0, 2, path='/urgent/1') == {'u-1'}


@pytest.mark.parametrize(
    ('rank', 'least_ms', 'most_ms'), [(0, 3_000, 3_150), (2, 3_000, 3_450)]
)
def test_what_no_upstream_can_take_is_refused_at_once(rank, least_ms, most_ms):
    route = samples.route(rank=rank, target_ms=3_000.0)
    rows = [samples.upstream('u-1'), samples.upstream('u-2')]
    world = samples.serving_world(route, upstreams_=rows)
    samples.feed(
        world,
        0.0,
        paused(world, 'u-1', 4_000.0),
        paused(world, 'u-2', 9_000.0),
    )
    outputs = samples.feed(world, 1_000.0, samples.arrival())
    (refused,) = samples.of_type(outputs, out.Refuse)
    assert refused.refusal.verdict is verdict.Verdict.NOT_RUN
    assert least_ms <= refused.refusal.retry_after_ms <= most_ms


def test_a_request_that_every_upstream_has_shed_is_refused_at_once():
    world = samples.serving_world(upstreams_=[samples.upstream('u-1')])
    sent = samples.single_dispatch(samples.feed(world, 1.0, samples.arrival()))
    shed = samples.attempt_done(sent, verdict.Shed())
    outputs = samples.feed(world, 9.0, shed)
    assert samples.of_type(outputs, out.Refuse)
