"""Test the choice of upstreams by object, region and load."""

import pytest

from core.gateway import samples
from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.placement import cold_rate_limit
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import coordinator as placement
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.placement import remote_share
from zinnialead_core.gateway.placement import rendezvous
from zinnialead_core.gateway.upstreams import coordinator as upstreams

NAMES = [f'u-{n}' for n in range(8)]


def request_for(key, home_regions=frozenset(), rank=1):
    return models.PlacementRequest('specdesk', key, rank, home_regions, ())


def choose(world, key, **fields):
    return placement.choose(world, 1.0, request_for(key, **fields))


def test_entries_choose_the_same_upstream_for_an_object():
    rows = tuple(samples.upstream(name) for name in NAMES)
    first = samples.serving_world(upstreams_=rows)
    second = samples.serving_world(upstreams_=tuple(reversed(rows)))
    for key in map(str, range(40)):
        assert choose(first, key) == choose(second, key)


def test_a_removed_upstream_moves_only_its_own_objects():
    rows = [samples.upstream(name) for name in NAMES]
    world = samples.serving_world(upstreams_=rows)
    keys = [str(n) for n in range(100)]
    before = {key: choose(world, key) for key in keys}
    samples.feed(world, 2.0, inp.UpstreamDeregistered('u-3'))
    after = {key: choose(world, key) for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == 'u-3'}


def test_a_route_stays_in_its_home_regions():
    rows = [samples.upstream('near'), samples.upstream('far', 'tn-a')]
    world = samples.serving_world(upstreams_=rows)
    home_regions = frozenset({'tn'})
    assert {
        choose(world, str(n), home_regions=home_regions) for n in range(20)
    } == {'far'}


def test_a_region_with_few_slots_uses_other_regions_from_the_start():
    remote = [samples.upstream(f'far-{n}', 'tn-a') for n in range(7)]
    world = samples.serving_world(
        upstreams_=[samples.upstream('near'), *remote]
    )
    chosen = [choose(world, str(n)) for n in range(200)]
    share = sum(name != 'near' for name in chosen) / len(chosen)
    assert 0.6 < share < 0.9


def test_an_upstream_of_an_unknown_domain_sends_no_requests_abroad():
    """It took no requests, but its slots counted as those of a region."""
    odd = samples.upstream('odd', 'nowhere', slots=10_000)
    local = [samples.upstream(f'near-{n}') for n in range(3)]
    remote = [samples.upstream(f'far-{n}', 'tn-a') for n in range(3)]
    world = samples.serving_world(upstreams_=[odd, *local, *remote])
    assert remote_share.get(world, 'specdesk').share == 0.0
    chosen = {choose(world, str(n)) for n in range(60)}
    assert chosen == {row.upstream for row in local}


def test_the_remote_share_moves_by_less_than_the_bound_in_two_seconds():
    remote = [samples.upstream(f'far-{n}', 'tn-a') for n in range(2)]
    world = samples.serving_world(
        upstreams_=[samples.upstream('near'), *remote]
    )
    world.loads['near'] = models.LoadRow(in_flight=20)
    before = remote_share.get(world, 'specdesk').share
    for _ in range(4):
        remote_share.rebalance(world, 1.0)
    after = remote_share.get(world, 'specdesk').share
    assert 0.0 < after - before < samples.BOUNDS.shift_share_max


@pytest.mark.parametrize('has_heartbeats', [True, False])
def test_a_cold_upstream_gets_its_rate_from_few_entries(has_heartbeats):
    """All entries sent to it when each took the others for dead.

    They did so just after their start, before the first heartbeats.
    """
    send_count = 0
    names = [f'entry-{n}' for n in range(8)]
    for name in names:
        world = gateway.new_world(samples.node(name), seed=1)
        config = samples.configuration(1)
        heartbeats = [
            inp.HeartbeatReceived(new_heartbeat(x))
            for x in names
            if has_heartbeats
        ]
        samples.feed(
            world,
            0.0,
            inp.ConfigurationRead(config, 'test'),
            inp.EntriesListed(tuple(map(samples.entry_row, names))),
            inp.UpstreamsListed(
                (samples.upstream('u-1', cold_ms=3_000.0),), 1
            ),
            *heartbeats,
        )
        while cold_rate_limit.may_send(world, 10.0, 'u-1'):
            cold_rate_limit.record_send(world, 10.0, 'u-1')
            send_count += 1
    assert 0 < send_count <= 4.3 * 1.5 + 5


def test_a_restart_found_late_leaves_nothing_of_the_rate_for_a_second():
    """Requests were sent as to a warm upstream until it was found cold."""
    world = samples.serving_world()
    again = samples.upstream('u-1', born_ms=2, revision=2, cold_ms=3_000.0)
    samples.feed(world, 5_000.0, inp.UpstreamRegistered(again))
    assert not cold_rate_limit.may_send(world, 5_999.0, 'u-1')
    assert cold_rate_limit.may_send(world, 6_001.0, 'u-1')


def new_heartbeat(entry):
    from zinnialead_core.gateway.entries import models as entries

    return entries.Heartbeat(entry, 1, False, True)


def test_an_upstream_is_cold_until_its_time_has_passed():
    world = samples.serving_world()
    upstreams.set_cold(world, 0.0, 'u-1', 1_000.0)
    assert upstreams.is_cold(world, 999.0, 'u-1')
    assert not upstreams.is_cold(world, 1_001.0, 'u-1')


def test_a_remote_object_goes_where_its_region_has_it_cached():
    rows = [samples.upstream(f'tn-{n}', 'tn-a') for n in range(6)]
    rows += [samples.upstream(f'guj-{n}') for n in range(2)]
    world = samples.serving_world(upstreams_=rows)
    remote_world = gateway.new_world(samples.node('entry-9', 'tn-a'), seed=1)
    listed = inp.UpstreamsListed(tuple(rows), 1)
    samples.feed(remote_world, 0.0, listed)
    for key in map(str, range(50)):
        remote = rendezvous.order_upstreams(world, request_for(key)).remote
        assert (
            remote[0]
            == rendezvous.order_upstreams(remote_world, request_for(key)).local
        )


def test_all_work_leaves_a_region_whose_upstreams_are_ejected():
    remote = [samples.upstream(f'far-{n}', 'tn-a') for n in range(3)]
    local = [samples.upstream(f'near-{n}') for n in range(3)]
    world = samples.serving_world(upstreams_=[*local, *remote])
    for row in local:
        ejected = models.LoadRow(out_until_ms=10_000.0)
        world.loads[row.upstream] = ejected
    chosen = {choose(world, str(n)) for n in range(60)}
    assert chosen == {row.upstream for row in remote}


def test_few_requests_leave_a_full_region():
    remote = [samples.upstream(f'far-{n}', 'tn-a') for n in range(3)]
    local = [samples.upstream(f'near-{n}') for n in range(3)]
    world = samples.serving_world(upstreams_=[*local, *remote])
    for row in local:
        world.loads[row.upstream] = models.LoadRow(in_flight=40)
    chosen = [choose(world, str(n)) for n in range(60)]
    assert sum(name is not None for name in chosen) <= 3


def test_requests_are_placed_where_every_upstream_fails_often():
    world = samples.serving_world()
    for name in ('u-1', 'u-2'):
        world.loads[name] = models.LoadRow(failing=0.9)
    assert {choose(world, str(n), rank=2) for n in range(20)} <= {'u-1', 'u-2'}


def test_failure_rate_and_slowness_of_an_upstream_decay():
    world = samples.serving_world()
    world.loads['u-1'] = models.LoadRow(failing=0.6, pace=4.0)
    assert loads.is_suspect(world, 'u-1')
    for _ in range(8):
        loads.decay(world)
    assert not loads.is_suspect(world, 'u-1')


def count_calls(monkeypatch, module, name):
    """Return a list that gets an item for each call of a function."""
    calls = []
    function = getattr(module, name)

    def counted(*arguments):
        calls.append(arguments)
        return function(*arguments)

    monkeypatch.setattr(module, name, counted)
    return calls


def test_a_choice_among_free_upstreams_looks_at_one(monkeypatch):
    """It walked and sorted all upstreams of a region."""
    rows = [samples.upstream(f'u-{n}') for n in range(200)]
    world = samples.serving_world(upstreams_=rows)
    choose(world, '7')
    calls = count_calls(monkeypatch, loads, 'is_excluded')
    assert choose(world, '7') is not None
    assert len(calls) == 1


def test_a_change_of_one_service_keeps_the_orders_of_the_others(monkeypatch):
    rows = [samples.upstream(f'u-{n}') for n in range(20)]
    world = samples.serving_world(upstreams_=rows)
    choose(world, '7')
    calls = count_calls(monkeypatch, rendezvous, 'by_weight')
    other = samples.upstream('other', service='qualgate', revision=2)
    samples.feed(world, 2.0, inp.UpstreamRegistered(other))
    choose(world, '7')
    assert not calls
    samples.feed(world, 3.0, inp.UpstreamDeregistered('u-3'))
    choose(world, '7')
    assert len(calls) == 1


def test_a_drain_changes_the_orders_of_all_services():
    rows = [samples.upstream('near'), samples.upstream('next', 'guj-b')]
    world = samples.serving_world(upstreams_=rows)
    before = {choose(world, str(n)) for n in range(20)}
    samples.feed(world, 2.0, inp.DrainAdded('guj-a'))
    after = {choose(world, str(n)) for n in range(20)}
    assert (before, after) == ({'near', 'next'}, {'next'})


def test_an_upstream_that_changes_its_service_leaves_the_earlier_one():
    rows = [samples.upstream('u-1'), samples.upstream('u-2')]
    world = samples.serving_world(upstreams_=rows)
    moved = samples.upstream('u-1', service='qualgate', revision=2)
    samples.feed(world, 2.0, inp.UpstreamRegistered(moved))
    assert {choose(world, str(n)) for n in range(20)} == {'u-2'}


def test_idle_balancing_does_not_visit_upstreams_without_load(monkeypatch):
    rows = [samples.upstream(f'u-{n}') for n in range(200)]
    world = samples.serving_world(upstreams_=rows)
    remote_share.get(world, 'specdesk')
    calls = count_calls(monkeypatch, loads, 'known_load')
    remote_share.rebalance(world, 2.0)
    assert not calls
    loads.record_start(world, 'u-7')
    remote_share.rebalance(world, 2.0)
    assert len(calls) == 1


def test_load_that_is_only_expected_sends_no_objects_abroad():
    """It is expected of local upstreams alone, so they looked busier."""
    remote = [samples.upstream(f'far-{n}', 'tn-a') for n in range(4)]
    local = [samples.upstream(f'near-{n}') for n in range(4)]
    world = samples.serving_world(upstreams_=[*local, *remote])
    remote_share.get(world, 'specdesk')
    world.placement.work['specdesk'] = models.WorkRow(2e3, 4e6)
    world.placement.peer_loads['specdesk'] = models.PeerLoadRow(2.0, 9.0)
    assert loads.estimate(world, 2.0, 'near-1') > const.LOCAL_LOAD_HIGH
    remote_share.rebalance(world, 2.0)
    assert remote_share.get(world, 'specdesk').share == 0.0
