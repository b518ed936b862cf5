"""Place objects, near and abroad, warm and cold."""

import pytest

from core.gateway import samples
from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.placement import abroad
from zinnialead_core.gateway.placement import cold
from zinnialead_core.gateway.placement import coordinator as placement
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.placement import orders
from zinnialead_core.gateway.upstreams import coordinator as upstreams

NAMES = [f'u-{n}' for n in range(8)]


def wanted(key, homes=frozenset(), rank=1):
    return models.PlacementRequest('specdesk', key, rank, homes, ())


def choose(world, key, **fields):
    return placement.choose(world, 1.0, wanted(key, **fields))


def test_entries_agree_on_an_object_without_asking():
    rows = tuple(samples.upstream(name) for name in NAMES)
    first = samples.served(upstreams_=rows)
    second = samples.served(upstreams_=tuple(reversed(rows)))
    for key in map(str, range(40)):
        assert choose(first, key) == choose(second, key)


def test_an_upstream_that_goes_moves_only_its_own_objects():
    rows = [samples.upstream(name) for name in NAMES]
    world = samples.served(upstreams_=rows)
    keys = [str(n) for n in range(100)]
    before = {key: choose(world, key) for key in keys}
    samples.feed(world, 2.0, inp.UpstreamGone('u-3'))
    after = {key: choose(world, key) for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == 'u-3'}


def test_a_route_with_homes_stays_in_them():
    rows = [samples.upstream('near'), samples.upstream('far', 'tn-a')]
    world = samples.served(upstreams_=rows)
    homes = frozenset({'tn'})
    assert {choose(world, str(n), homes=homes) for n in range(20)} == {'far'}


def test_a_region_with_few_slots_sends_a_part_abroad_from_the_start():
    far = [samples.upstream(f'far-{n}', 'tn-a') for n in range(7)]
    world = samples.served(upstreams_=[samples.upstream('near'), *far])
    chosen = [choose(world, str(n)) for n in range(200)]
    share = sum(name != 'near' for name in chosen) / len(chosen)
    assert 0.6 < share < 0.9


def test_the_share_abroad_moves_by_less_than_the_bound_in_two_seconds():
    far = [samples.upstream(f'far-{n}', 'tn-a') for n in range(2)]
    world = samples.served(upstreams_=[samples.upstream('near'), *far])
    world.loads['near'] = models.LoadRow(in_flight=20)
    before = abroad.of(world, 'specdesk').share
    for _ in range(4):
        abroad.balance(world, 1.0)
    after = abroad.of(world, 'specdesk').share
    assert 0.0 < after - before < samples.BOUNDS.shift_share_max


@pytest.mark.parametrize('is_heard', [True, False])
def test_a_cold_upstream_gets_its_rate_from_few_entries(is_heard):
    """Entries that had just started took each other for dead."""
    total = 0
    names = [f'entry-{n}' for n in range(8)]
    for name in names:
        world = gateway.new_world(samples.node(name), seed=1)
        config = samples.configuration(1)
        heard = [inp.BeatHeard(gateway_beat(x)) for x in names if is_heard]
        samples.feed(
            world,
            0.0,
            inp.ConfigurationRead(config, 'test'),
            inp.EntriesListed(tuple(map(samples.entry_row, names))),
            inp.UpstreamsListed(
                (samples.upstream('u-1', cold_ms=3_000.0),), 1
            ),
            *heard,
        )
        while cold.may_send(world, 10.0, 'u-1'):
            cold.sent(world, 10.0, 'u-1')
            total += 1
    assert 0 < total <= 4.3 * 1.5 + 5


def gateway_beat(entry):
    from zinnialead_core.gateway.entries import models as entries

    return entries.Beat(entry, 1, False, True)


def test_warmth_ends_with_its_time():
    world = samples.served()
    upstreams.set_cold(world, 0.0, 'u-1', 1_000.0)
    assert upstreams.is_cold(world, 999.0, 'u-1')
    assert not upstreams.is_cold(world, 1_001.0, 'u-1')


def test_an_object_from_abroad_finds_where_the_region_keeps_it():
    rows = [samples.upstream(f'tn-{n}', 'tn-a') for n in range(6)]
    rows += [samples.upstream(f'guj-{n}') for n in range(2)]
    world = samples.served(upstreams_=rows)
    native = gateway.new_world(samples.node('entry-9', 'tn-a'), seed=1)
    listed = inp.UpstreamsListed(tuple(rows), 1)
    samples.feed(native, 0.0, listed)
    for key in map(str, range(50)):
        far = orders.of_object(world, wanted(key)).far
        assert far[0] == orders.of_object(native, wanted(key)).near


def test_work_goes_abroad_freely_when_home_is_out():
    far = [samples.upstream(f'far-{n}', 'tn-a') for n in range(3)]
    near = [samples.upstream(f'near-{n}') for n in range(3)]
    world = samples.served(upstreams_=[*near, *far])
    for row in near:
        out = models.LoadRow(out_until_ms=10_000.0)
        world.loads[row.upstream] = out
    chosen = {choose(world, str(n)) for n in range(60)}
    assert chosen == {row.upstream for row in far}


def test_few_leave_a_home_that_is_full():
    far = [samples.upstream(f'far-{n}', 'tn-a') for n in range(3)]
    near = [samples.upstream(f'near-{n}') for n in range(3)]
    world = samples.served(upstreams_=[*near, *far])
    for row in near:
        world.loads[row.upstream] = models.LoadRow(in_flight=40)
    chosen = [choose(world, str(n)) for n in range(60)]
    assert sum(name is not None for name in chosen) <= 3


def test_work_is_served_where_every_upstream_fails_often():
    world = samples.served()
    for name in ('u-1', 'u-2'):
        world.loads[name] = models.LoadRow(failing=0.9)
    assert {choose(world, str(n), rank=2) for n in range(20)} <= {'u-1', 'u-2'}


def test_what_is_held_against_an_upstream_fades():
    world = samples.served()
    world.loads['u-1'] = models.LoadRow(failing=0.6, pace=4.0)
    assert loads.is_suspect(world, 'u-1')
    for _ in range(8):
        loads.fade(world)
    assert not loads.is_suspect(world, 'u-1')
