"""Test what upstreams announce about themselves in their answers."""

import pytest

from core.gateway import samples
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core.gateway.upstreams import models
from zinnialead_core import verdict

LEAVES = models.Leaves()


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
