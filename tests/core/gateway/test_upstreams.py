"""Test tracking upstreams and drained domains."""

from core.gateway import samples
from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.store import models as store
from zinnialead_core.gateway.upstreams import coordinator as upstreams


def usable(world):
    return {x.upstream for x in upstreams.usable(world, 'specdesk')}


def test_a_leaving_upstream_is_unusable_at_once():
    world = samples.serving_world()
    row = samples.upstream('u-1', leaving=True, revision=2)
    samples.feed(world, 1.0, inp.UpstreamRegistered(row))
    assert usable(world) == {'u-2'}


def test_an_older_revision_is_ignored():
    world = samples.serving_world()
    newer = samples.upstream('u-1', leaving=True, revision=9)
    older = samples.upstream('u-1', revision=4)
    samples.feed(
        world,
        1.0,
        inp.UpstreamRegistered(newer),
        inp.UpstreamRegistered(older),
    )
    assert usable(world) == {'u-2'}


def test_a_drained_domain_is_unusable_and_returns_cold():
    world = samples.serving_world()
    samples.feed(world, 1.0, inp.DrainAdded('guj-a'))
    assert usable(world) == {'u-2'}
    samples.feed(world, 100.0, inp.DrainRemoved('guj-a'))
    assert usable(world) == {'u-1', 'u-2'}
    assert upstreams.is_cold(world, 101.0, 'u-1')
    assert not upstreams.is_cold(world, 101.0, 'u-2')


def test_a_deregistered_upstream_is_removed_at_once():
    world = samples.serving_world()
    samples.feed(world, 5.0, inp.UpstreamDeregistered('u-1'))
    assert usable(world) == {'u-2'}


def outage(world, begin_ms, end_ms):
    steps = (
        (begin_ms - 1.0, store.Changed((), 1)),
        (begin_ms, store.Failed('down')),
        (end_ms, store.Changed((), 1)),
    )
    for now_ms, result in steps:
        kind = store.Kind.DRAINS
        store_done = samples.store_done(world, kind, result)
        samples.feed(world, now_ms, store_done)


def test_an_upstream_that_expired_in_an_outage_is_removed_later():
    world = samples.serving_world()
    outage(world, 1_000.0, 8_000.0)
    samples.feed(world, 8_001.0, inp.UpstreamDeregistered('u-1'))
    assert usable(world) == {'u-1', 'u-2'}
    samples.feed(world, 8_000.0 + 2_400.0)
    assert usable(world) == {'u-2'}


def test_an_upstream_that_registers_after_an_outage_stays():
    world = samples.serving_world()
    outage(world, 1_000.0, 8_000.0)
    samples.feed(world, 8_001.0, inp.UpstreamDeregistered('u-1'))
    renewed = samples.upstream('u-1', revision=30)
    samples.feed(world, 9_000.0, inp.UpstreamRegistered(renewed))
    samples.feed(world, 20_000.0)
    assert usable(world) == {'u-1', 'u-2'}


def test_a_short_outage_of_the_store_delays_no_removal():
    world = samples.serving_world()
    outage(world, 1_000.0, 1_400.0)
    samples.feed(world, 1_401.0, inp.UpstreamDeregistered('u-1'))
    assert usable(world) == {'u-2'}


def test_a_new_world_has_no_upstreams():
    world = gateway.new_world(samples.node(), seed=1)
    assert usable(world) == set()
