"""Test entries against a store that works, fails and recovers."""

import collections

from core.components.members import member_network
from core import samples
import zinnialead_core as core
from zinnialead_core.components import store
from zinnialead_core.components.store import const
from zinnialead_core.components.store import limits
from zinnialead_core.components.store import tasks
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out

DOMAINS = {'a': 6, 'b': 6}


def answer_calls(network, answer):
    """Answer the calls made so far, and count them by kind and entry."""
    counts = collections.Counter()
    calls, network.store_calls = network.store_calls, []
    for _, entry, output in calls:
        counts[type(output.call).__name__, entry] += 1
        result = answer(output.call)
        if result is not None and entry not in network.stopped:
            store_done = inp.StoreDone(output.call_id, result)
            member_network.feed(network, entry, store_done)
    return counts


def run(network, end_ms, answer, step_ms=100.0):
    counts = collections.Counter()
    while network.now_ms < end_ms:
        member_network.run_until(network, network.now_ms + step_ms)
        counts += answer_calls(network, answer)
    return counts


def answer_normally(call):
    match call:
        case store.ListVms():
            return store.Listed()
        case store.Read(name):
            return store.Found(name, b'', 7)
        case store.Watch():
            return None


def answer_failed(call):
    return store.Failed(call.name, 'down')


def test_two_readers_per_domain_watch_the_state():
    network = member_network.new_network(DOMAINS)
    run(network, 10_000.0, answer_normally)
    counts = run(network, 60_000.0, answer_normally)
    watchers = {entry for kind, entry in counts if kind == 'Watch'}
    assert len([x for x in watchers if x[0] == 'a']) == 2
    assert len([x for x in watchers if x[0] == 'b']) == 2
    readers = {e for e, w in network.worlds.items() if tasks.is_reader(w)}
    assert watchers == readers


def test_another_entry_replaces_a_dead_reader():
    network = member_network.new_network(DOMAINS)
    run(network, 10_000.0, answer_normally)
    readers = {e for e, w in network.worlds.items() if tasks.is_reader(w)}
    network.stopped.add(min(readers))
    run(network, 20_000.0, answer_normally)
    live_entries = set(network.worlds) - network.stopped
    new_readers = {
        e for e in live_entries if tasks.is_reader(network.worlds[e])
    }
    assert len(new_readers) == 4
    assert readers - network.stopped < new_readers


def test_calls_back_off_in_a_long_outage_and_resume_soon_after():
    network = member_network.new_network(DOMAINS)
    run(network, 60_000.0, answer_failed)
    during = run(network, 120_000.0, answer_failed)
    assert sum(during.values()) <= 60 * 2 * 4
    after = run(network, 127_000.0, answer_normally)
    assert any(kind == 'Read' for kind, _ in after)


def test_first_calls_of_a_full_restart_are_spread_out():
    network = member_network.new_network({'a': 50, 'b': 50})
    calls_per_step = []
    while network.now_ms < 3_000.0:
        counts = run(network, network.now_ms + 100.0, lambda _: None)
        calls_per_step.append(sum(counts.values()))
    assert max(calls_per_step) <= 30
    assert sum(calls_per_step) < 2 * 100


def test_an_object_is_read_again_when_its_version_is_too_old():
    world = entry_without_peers()
    now_ms = 3_000.0
    outputs = _calls(world, now_ms)
    for result, expected in (
        (store.Found('state', b'', 7), store.Watch('state', 7)),
        (store.Unchanged('state'), store.Watch('state', 7)),
        (store.Unchanged('state', 9), store.Watch('state', 9)),
        (store.TooOld('state'), store.ReadLatest('state')),
        (store.Found('state', b'', 7, 40), store.Watch('state', 40)),
        (store.Found('state', b'', 42), store.Watch('state', 42)),
        (store.TooOld('state'), store.ReadLatest('state')),
        (store.Missing('state', 50), store.Watch('state', 50)),
        (store.Missing('state'), store.Watch('state', 0)),
    ):
        [call_id] = [x.call_id for x in outputs if x.call.name == 'state']
        store_done = inp.StoreDone(call_id, result)
        outputs = list(core.tick(world, now_ms, [store_done]))
        outputs = [x for x in outputs if isinstance(x, out.CallStore)]
        now_ms += 1_000.0
        outputs += _calls(world, now_ms)
        assert [x.call for x in outputs if x.call.name == 'state'] == [
            expected
        ]


def entry_without_peers():
    world = member_network.new_world('a0', 'a')
    list(core.tick(world, 0.0, [inp.PeerSeen('a0', 'a', 'a0:1')]))
    return world


def _calls(world, now_ms):
    outputs = core.tick(world, now_ms, [])
    return [x for x in outputs if isinstance(x, out.CallStore)]


def test_a_call_whose_result_is_lost_is_made_again():
    world = entry_without_peers()
    first = _calls(world, 3_000.0)
    late_ms = 3_000.0 + const.CALL_TIMEOUT_MS + const.LOST_MARGIN_MS
    _calls(world, late_ms + const.CALL_TIMEOUT_MS)
    again = _calls(world, late_ms + 30_000.0)
    assert len(first) == 2
    assert {x.call for x in again} == {x.call for x in first}
    assert {x.call_id for x in again}.isdisjoint(x.call_id for x in first)


def test_an_entry_gets_its_share_of_the_fleet_budget():
    network = member_network.new_network({'a': 30})
    world = network.worlds['a0']
    write = store.Update('keys-1', b'', 1)
    for second in range(10):
        for _ in range(100):
            limits.open_call(world, second * 1_000.0, write)
    share = const.FLEET_WRITES_PER_S / 30
    written = sum(row.call == write for row in world.store.open_calls.values())
    assert written <= const.BURST_CALLS + 10 * share
    assert world.counters['store.over_budget'] > 0


def test_a_full_restart_with_a_slow_store_makes_few_calls():
    network = member_network.new_network({'a': 20, 'b': 20})
    state = samples.state(number=9)
    waiting, calls = [], 0
    while network.now_ms < 10_000.0:
        member_network.run_until(network, network.now_ms + 100.0)
        waiting, network.store_calls, calls = (
            waiting + network.store_calls,
            [],
            calls + len(network.store_calls),
        )
        due = [x for x in waiting if network.now_ms - x[0] >= 2_000.0]
        waiting = [x for x in waiting if x not in due]
        for _, entry, output in due:
            result = answer_normally(output.call)
            if result is not None:
                store_done = inp.StoreDone(output.call_id, result)
                read = [inp.StateRead(state)] if 'state' in str(result) else []
                member_network.feed(network, entry, *read, store_done)
    numbers = {w.states['in-force'].number for w in network.worlds.values()}
    assert numbers == {9}
    assert calls <= 2 * 40


def test_all_pages_of_a_list_are_read_without_a_pause():
    pages_read = collections.Counter()

    def answer_in_pages(call):
        if not isinstance(call, store.ListVms):
            return answer_normally(call)
        pages_read[call.after] += 1
        after = {'': 'e500', 'e500': 'e900', 'e900': ''}[call.after]
        return store.Listed(next_after=after)

    network = member_network.new_network(DOMAINS)
    run(network, 5_000.0, answer_in_pages)
    assert pages_read['e900'] == pages_read['e500'] == pages_read[''] > 0
