"""Learn upstreams from the store."""

from core.gateway import samples
from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.store import models as store
from zinnialead_core.gateway.upstreams import coordinator as upstreams


def usable(world):
    return {x.upstream for x in upstreams.usable(world, 'specdesk')}


def test_a_leaving_upstream_gets_nothing_at_once():
    world = samples.served()
    row = samples.upstream('u-1', leaving=True, revision=2)
    samples.feed(world, 1.0, inp.UpstreamRegistered(row))
    assert usable(world) == {'u-2'}


def test_an_older_revision_changes_nothing():
    world = samples.served()
    newer = samples.upstream('u-1', leaving=True, revision=9)
    older = samples.upstream('u-1', revision=4)
    samples.feed(
        world,
        1.0,
        inp.UpstreamRegistered(newer),
        inp.UpstreamRegistered(older),
    )
    assert usable(world) == {'u-2'}


def test_a_drained_domain_gets_nothing_and_comes_back_cold():
    world = samples.served()
    samples.feed(world, 1.0, inp.DrainAdded('guj-a'))
    assert usable(world) == {'u-2'}
    samples.feed(world, 100.0, inp.DrainRemoved('guj-a'))
    assert usable(world) == {'u-1', 'u-2'}
    assert upstreams.is_cold(world, 101.0, 'u-1')
    assert not upstreams.is_cold(world, 101.0, 'u-2')


def test_a_removed_upstream_is_gone_at_once_while_the_store_is_well():
    world = samples.served()
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
        done = samples.stored(world, kind, result)
        samples.feed(world, now_ms, done)


def test_what_lapsed_in_an_outage_is_held_until_it_may_be_back():
    world = samples.served()
    outage(world, 1_000.0, 8_000.0)
    samples.feed(world, 8_001.0, inp.UpstreamDeregistered('u-1'))
    assert usable(world) == {'u-1', 'u-2'}
    samples.feed(world, 8_000.0 + 2_400.0)
    assert usable(world) == {'u-2'}


def test_what_registers_again_after_an_outage_stays():
    world = samples.served()
    outage(world, 1_000.0, 8_000.0)
    samples.feed(world, 8_001.0, inp.UpstreamDeregistered('u-1'))
    back = samples.upstream('u-1', revision=30)
    samples.feed(world, 9_000.0, inp.UpstreamRegistered(back))
    samples.feed(world, 20_000.0)
    assert usable(world) == {'u-1', 'u-2'}


def test_a_short_silence_of_the_store_holds_nothing_back():
    world = samples.served()
    outage(world, 1_000.0, 1_400.0)
    samples.feed(world, 1_401.0, inp.UpstreamDeregistered('u-1'))
    assert usable(world) == {'u-2'}


def test_a_new_world_has_no_upstreams():
    world = gateway.new_world(samples.node(), seed=1)
    assert usable(world) == set()
