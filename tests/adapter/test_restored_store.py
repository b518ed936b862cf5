"""Test entries whose store comes back from an older copy."""

import trio

from adapter import deployments
from adapter import fakes
from zinnialead_standins import store as stores

# Lost changes: enough for the store's revision to stay below the old one.
LOST_CHANGES = 200
REWRITE_S = 1.5


def configure(store, version, *paths):
    """Write a configuration with one route for each path prefix."""
    document = deployments.configuration(version)
    document['routes'] = {
        f'r-{path}': deployments.route(path_prefix=f'/{path}/')
        for path in paths
    }
    stores.put(store, 'config', 'main', document)


def raise_revision(store):
    for number in range(LOST_CHANGES):
        stores.put(store, 'other', 'object', number)


async def restore(store, copy, away_s=0.3):
    """Let the store be away for a moment and come back from a copy."""
    stores.set_condition(store, stores.Down())
    await trio.sleep(away_s)
    stores.restore(store, copy)
    stores.set_condition(store, stores.Up())


async def add_upstream(nursery, store, name, **fields):
    upstream = fakes.FakeUpstream(name)
    address = await fakes.serve_upstream(nursery, upstream)
    spec = deployments.registration(address, **fields)
    stores.put(store, 'servers', name, spec)
    return upstream, spec


async def start(nursery, entries=1):
    """Start a store, an upstream and entries of one region."""
    store = stores.new_store()
    configure(store, 1, 'desk')
    first, spec = await add_upstream(nursery, store, 'i-0')
    address = await fakes.serve_store(nursery, store)
    settings = []
    for number in range(entries):
        name = f'edge-{number}'
        settings.append(await deployments.entry(nursery, address, name))
    for one in settings:
        await deployments.until_ready(one)
    return store, first, spec, settings, address


async def status(settings, target=b'/desk/1'):
    return (await deployments.ask(settings.front_bind, target=target)).status


async def ran_within(settings, span_s, *upstreams):
    """Return how many requests each upstream runs in a span."""
    before = [len(x.ran) for x in upstreams]
    with trio.move_on_after(span_s):
        while True:
            await status(settings)
            await trio.sleep(0.02)
    return [
        len(x.ran) - count for x, count in zip(upstreams, before, strict=True)
    ]


async def test_a_change_after_a_restore_reaches_every_entry(nursery):
    store, _, _, entries, _ = await start(nursery, entries=8)
    copy = stores.snapshot(store)
    raise_revision(store)
    configure(store, 2, 'desk', 'second')
    for settings in entries:
        await deployments.until_served(settings, b'/second/1')
    await restore(store, copy)
    configure(store, 2, 'desk', 'second')
    await trio.sleep(2.0)
    configure(store, 3, 'desk', 'third')
    await trio.sleep(2.5)
    for settings in entries:
        assert await status(settings, b'/third/1') == 200
        assert await status(settings, b'/second/1') == 404


async def test_an_upstream_that_leaves_stays_unused_after_a_restore(nursery):
    store, leaving, spec, (settings,), _ = await start(nursery)
    stays, _ = await add_upstream(nursery, store, 'i-1')
    copy = stores.snapshot(store)
    stores.put(store, 'servers', 'i-0', {**spec, 'state': 'draining'})
    await trio.sleep(0.8)
    await restore(store, copy)
    ran = await ran_within(settings, REWRITE_S, leaving, stays)
    assert ran[0] == 0
    assert ran[1] > 0


async def test_an_upstream_that_left_does_not_return_with_the_copy(nursery):
    store, left, _, (settings,), _ = await start(nursery)
    stays, _ = await add_upstream(nursery, store, 'i-1')
    copy = stores.snapshot(store)
    stores.remove(store, 'servers', 'i-0')
    await trio.sleep(0.8)
    await restore(store, copy)
    ran = await ran_within(settings, REWRITE_S, left, stays)
    assert ran[0] == 0
    assert ran[1] > 0


async def test_an_upstream_that_the_copy_lacks_stays_in_use(nursery):
    store, _, _, (settings,), _ = await start(nursery)
    copy = stores.snapshot(store)
    added, spec = await add_upstream(nursery, store, 'i-1')
    await trio.sleep(0.8)
    await restore(store, copy)
    await trio.sleep(0.7)
    assert await ran_within(settings, REWRITE_S - 0.7, added) != [0]
    stores.put(store, 'servers', 'i-1', spec)
    await trio.sleep(1.5)
    assert await ran_within(settings, 1.0, added) != [0]


async def test_an_upstream_that_nothing_renews_ends_after_a_restore(nursery):
    store, _, _, (settings,), _ = await start(nursery)
    copy = stores.snapshot(store)
    added, _ = await add_upstream(nursery, store, 'i-1')
    await trio.sleep(0.8)
    await restore(store, copy)
    await trio.sleep(3.5)
    assert await ran_within(settings, 1.0, added) == [0]


async def test_a_drain_that_the_copy_lacks_holds_until_it_is_renewed(nursery):
    store, drained, _, (settings,), _ = await start(nursery)
    stays, _ = await add_upstream(nursery, store, 'i-1', zone='tn-a')
    copy = stores.snapshot(store)
    stores.put(store, 'evacuations', 'guj-a', {})
    await trio.sleep(0.8)
    await restore(store, copy)
    ran = await ran_within(settings, REWRITE_S, drained, stays)
    assert ran[0] == 0
    assert ran[1] > 0
    stores.put(store, 'evacuations', 'guj-a', {})
    ran = await ran_within(settings, 2.0, drained, stays)
    assert ran[0] == 0
    assert ran[1] > 0


async def test_a_drain_that_nothing_renews_ends_after_a_restore(nursery):
    store, drained, _, (settings,), _ = await start(nursery)
    copy = stores.snapshot(store)
    stores.put(store, 'evacuations', 'guj-a', {})
    await trio.sleep(0.8)
    await restore(store, copy)
    await trio.sleep(3.0)
    assert await ran_within(settings, 1.0, drained) != [0]


async def test_a_started_entry_follows_the_others_and_not_an_older_copy(
    nursery,
):
    store, _, _, (settings,), address = await start(nursery)
    copy = stores.snapshot(store)
    configure(store, 2, 'second')
    await deployments.until_served(settings, b'/second/1')
    await restore(store, copy)
    seeds = f'"{settings.snapshot_binds[1]}"'
    started = await deployments.entry(nursery, address, 'edge-9', seeds)
    statuses = []
    with trio.move_on_after(2.0):
        while True:
            statuses.append(await status(started))
            await trio.sleep(0.005)
    assert 200 not in statuses
    assert await status(started, b'/second/1') == 200


async def test_an_entry_registers_again_if_the_copy_lacks_it(nursery):
    store = stores.new_store()
    configure(store, 1, 'desk')
    await add_upstream(nursery, store, 'i-0')
    copy = stores.snapshot(store)
    address = await fakes.serve_store(nursery, store)
    for number in range(4):
        settings = await deployments.entry(nursery, address, f'edge-{number}')
        await deployments.until_ready(settings)
    assert len(store.objects['zinnialead-entries']) == 4
    await restore(store, copy)
    assert not store.objects['zinnialead-entries']
    await trio.sleep(4.0)
    assert len(store.objects['zinnialead-entries']) == 4
