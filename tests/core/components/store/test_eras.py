"""Test that versions of the store are not used beyond a restore."""

from core.components.members import member_network
import zinnialead_core as core
from zinnialead_core.components import store
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out

FOUND = store.Found('state', b'', 7)


def new_entry():
    world = member_network.new_world('a0', 'a')
    list(core.tick(world, 0.0, [inp.PeerSeen('a0', 'a', 'a0:1')]))
    return world


def tick(world, now_ms, *inputs):
    """Run a tick and return the calls that it makes, by object."""
    outputs = core.tick(world, now_ms, inputs)
    return {x.call.name: x for x in outputs if isinstance(x, out.CallStore)}


def watching_entry():
    """Return an entry of era 1 and its calls: a watch and a list."""
    world = new_entry()
    calls = tick(world, 3_000.0)
    done = inp.StoreDone(calls['state'].call_id, FOUND, era=1)
    return world, {**calls, **tick(world, 3_000.0, done)}


def test_an_open_watch_is_replaced_by_a_read_when_another_call_tells_an_era():
    world, calls = watching_entry()
    assert calls['state'].call == store.Watch('state', 7)
    listed = inp.StoreDone(calls['vms'].call_id, store.Listed(), era=2)
    again = tick(world, 4_000.0, listed)
    assert again['state'].call == store.Read('state')
    assert world.counters['store.restored'] == 1
    # The watch's own result comes late and changes nothing.
    late = inp.StoreDone(calls['state'].call_id, store.Unchanged('state'), 2)
    assert not tick(world, 4_500.0, late)
    found = store.Found('state', b'', 5)
    read = inp.StoreDone(again['state'].call_id, found, era=2)
    assert tick(world, 5_000.0, read)['state'].call == store.Watch('state', 5)


def test_a_version_of_a_past_era_is_not_watched_from():
    world, calls = watching_entry()
    listed = inp.StoreDone(calls['vms'].call_id, store.Listed(), era=2)
    again = tick(world, 4_000.0, listed)
    read = inp.StoreDone(again['state'].call_id, FOUND, era=1)
    assert not tick(world, 4_100.0, read)
    assert tick(world, 5_000.0)['state'].call == store.Read('state')


def test_a_watch_that_failed_is_followed_by_a_read():
    for failure in (
        store.Failed('state', 'cut'),
        store.Refused('state', 0.0),
    ):
        world, calls = watching_entry()
        failed = inp.StoreDone(calls['state'].call_id, failure)
        retried = tick(world, 4_000.0, failed) or tick(world, 15_000.0)
        assert retried['state'].call == store.Read('state')


def test_a_store_that_tells_no_era_is_watched_as_before():
    world = new_entry()
    calls = tick(world, 3_000.0)
    done = inp.StoreDone(calls['state'].call_id, FOUND)
    watch = tick(world, 3_000.0, done)['state']
    assert watch.call == store.Watch('state', 7)
    unchanged = inp.StoreDone(watch.call_id, store.Unchanged('state'))
    again = tick(world, 12_000.0, unchanged)['state']
    assert again.call == store.Watch('state', 7)
    assert world.counters['store.restored'] == 0
