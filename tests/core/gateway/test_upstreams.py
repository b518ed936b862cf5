"""Test tracking upstreams and drained domains."""

import dataclasses

import pytest

from core.gateway import samples
from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import models as store
from zinnialead_core.gateway.store import snapshots
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
        if now_ms == begin_ms:
            pass_time(world, begin_ms, end_ms)


def pass_time(world, begin_ms, end_ms):
    for step in range(int((end_ms - begin_ms) / 100.0)):
        samples.feed(world, begin_ms + 100.0 * step)


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


def test_a_second_outage_extends_what_the_first_one_holds():
    world = samples.serving_world()
    outage(world, 1_000.0, 8_000.0)
    samples.feed(world, 8_001.0, inp.UpstreamDeregistered('u-1'))
    outage(world, 9_000.0, 15_000.0)
    pass_time(world, 15_000.0, 17_300.0)
    assert usable(world) == {'u-1', 'u-2'}
    pass_time(world, 17_300.0, 19_800.0)
    assert usable(world) == {'u-2'}


def test_a_short_outage_of_the_store_delays_no_removal():
    world = samples.serving_world()
    outage(world, 1_000.0, 1_400.0)
    samples.feed(world, 1_401.0, inp.UpstreamDeregistered('u-1'))
    assert usable(world) == {'u-2'}


def test_a_new_world_has_no_upstreams():
    world = gateway.new_world(samples.node(), seed=1)
    assert usable(world) == set()


def restored(world, now_ms, eras=(1, 2)):
    """Let a world learn that the store came back from an older copy."""
    for era in eras:
        answer = samples.store_done(
            world, store.Kind.DRAINS, store.Changed((), 1)
        )
        samples.feed(world, now_ms, dataclasses.replace(answer, era=era))


def test_a_run_that_ended_is_believed_again_only_if_it_outlives_its_ttl():
    world = samples.serving_world()
    row = world.upstreams.rows['u-1']
    samples.feed(world, 100.0, inp.UpstreamDeregistered('u-1'))
    restored(world, 1_000.0)
    stays = samples.upstream('u-2', 'guj-b')
    samples.feed(world, 1_100.0, inp.UpstreamsListed((row, stays), 9))
    samples.feed(world, 6_400.0)
    assert usable(world) == {'u-2'}
    samples.feed(world, 6_500.0)
    assert usable(world) == {'u-1', 'u-2'}


@pytest.mark.parametrize(
    'end', [inp.UpstreamDeregistered('u-1'), inp.UpstreamsListed((), 10)]
)
def test_a_run_that_ended_stays_unused_if_its_registration_expires(end):
    world = samples.serving_world()
    row = world.upstreams.rows['u-1']
    samples.feed(world, 100.0, inp.UpstreamDeregistered('u-1'))
    restored(world, 1_000.0)
    samples.feed(world, 1_100.0, inp.UpstreamsListed((row,), 9))
    samples.feed(world, 5_000.0, end)
    samples.feed(world, 20_000.0)
    assert 'u-1' not in usable(world)


def test_a_new_run_is_used_at_once_after_a_restore():
    world = samples.serving_world()
    samples.feed(world, 100.0, inp.UpstreamDeregistered('u-1'))
    restored(world, 1_000.0)
    row = samples.upstream('u-1', born_ms=2, revision=3)
    samples.feed(world, 1_100.0, inp.UpstreamRegistered(row))
    assert usable(world) == {'u-1', 'u-2'}


def test_an_older_copy_does_not_bring_back_the_run_before():
    world = samples.serving_world()
    before = world.upstreams.rows['u-1']
    row = before._replace(born_ms=2, revision=8, address='127.0.0.1:2')
    samples.feed(world, 100.0, inp.UpstreamRegistered(row))
    restored(world, 1_000.0)
    samples.feed(world, 1_100.0, inp.UpstreamsListed((before,), 9))
    assert world.upstreams.rows['u-1'].address == '127.0.0.1:2'
    samples.feed(world, 6_500.0)
    assert world.upstreams.rows['u-1'].address == before.address


def test_a_second_restore_extends_what_the_first_one_holds():
    world = samples.serving_world()
    samples.feed(world, 100.0, inp.DrainAdded('guj-b'))
    restored(world, 1_000.0)
    stays = samples.upstream('u-2', 'guj-b')
    lists = inp.UpstreamsListed((stays,), 9), inp.DrainsListed(())
    samples.feed(world, 1_100.0, *lists)
    restored(world, 3_000.0, eras=(3,))
    samples.feed(world, 5_200.0)
    assert set(world.upstreams.rows) == {'u-1', 'u-2'}
    assert world.upstreams.drained == {'guj-b'}
    samples.feed(world, 5_300.0)
    assert set(world.upstreams.rows) == {'u-2'}
    assert world.upstreams.drained == set()


def test_a_drain_that_a_copy_lacks_is_held_while_the_store_is_away():
    world = samples.serving_world()
    samples.feed(world, 100.0, inp.DrainAdded('guj-b'))
    restored(world, 1_000.0)
    samples.feed(world, 1_100.0, inp.DrainsListed(()))
    outage(world, 2_000.0, 9_000.0)
    assert world.upstreams.drained == {'guj-b'}
    samples.feed(world, 9_100.0, inp.DrainsListed(()))
    samples.feed(world, 11_200.0)
    assert world.upstreams.drained == {'guj-b'}
    samples.feed(world, 11_500.0)
    assert world.upstreams.drained == set()


def listed_after_restore(*rows):
    """Return a world that doubts u-1 after it listed a restored store."""
    world = samples.serving_world()
    samples.feed(world, 100.0, inp.UpstreamDeregistered('u-1'))
    restored(world, 1_000.0)
    items = tuple(map(inp.UpstreamRegistered, rows))
    page = samples.store_done(
        world, store.Kind.UPSTREAMS, store.Listed(items, None, 9, 9)
    )
    samples.feed(world, 1_100.0, dataclasses.replace(page, era=2))
    return world


def test_a_doubted_run_that_is_alive_is_not_lost_by_a_snapshot():
    rows = samples.upstream('u-1'), samples.upstream('u-2', 'guj-b')
    reader, other = (listed_after_restore(*rows) for _ in range(2))
    snapshot = snapshots.snapshot(reader, 1_200.0, store.Kind.UPSTREAMS)
    samples.feed(
        other, 1_200.0, dataclasses.replace(snapshot, synced_revision=10)
    )
    samples.feed(other, 6_500.0)
    assert usable(other) == {'u-1', 'u-2'}


def test_an_upstream_that_registers_late_after_a_restore_is_used():
    world = samples.serving_world()
    row = world.upstreams.rows['u-1']
    restored(world, 1_000.0)
    samples.feed(world, 1_100.0, inp.UpstreamDeregistered('u-1'))
    samples.feed(world, 3_400.0)
    assert usable(world) == {'u-2'}
    samples.feed(world, 3_500.0, inp.UpstreamRegistered(row))
    assert usable(world) == {'u-1', 'u-2'}


def test_a_start_under_the_same_id_is_logged_and_counted():
    world = samples.serving_world()
    again = samples.upstream('u-1', born_ms=2, revision=2, cold_ms=3_000.0)
    outputs = samples.feed(world, 5.0, inp.UpstreamRegistered(again))
    (line,) = samples.of_type(outputs, out.LogStateChange)
    assert (line.before, line.after) == ('run 1', 'run 2')
    assert world.counters['upstreams.restarted'] == 1
    assert upstreams.cold_for_ms(world, 6.0, 'u-1') == 2_999.0
