"""Let entries call a store that works, fails and comes back."""

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


def answer_all(bag, answer):
    """Answer the calls made so far, and return them by kind and entry."""
    found = collections.Counter()
    calls, bag.store_calls = bag.store_calls, []
    for _, entry, output in calls:
        found[type(output.call).__name__, entry] += 1
        result = answer(output.call)
        if result is not None and entry not in bag.stopped:
            done = inp.StoreDone(output.call_id, result)
            member_network.feed(bag, entry, done)
    return found


def run(bag, end_ms, answer, step_ms=100.0):
    found = collections.Counter()
    while bag.now_ms < end_ms:
        member_network.run_until(bag, bag.now_ms + step_ms)
        found += answer_all(bag, answer)
    return found


def works(call):
    match call:
        case store.ListVms():
            return store.Listed()
        case store.Read(name):
            return store.Found(name, b'', 7)
        case store.Watch():
            return None


def fails(call):
    return store.Failed(call.name, 'down')


def test_a_couple_of_readers_a_domain_watch_the_state():
    bag = member_network.new_network(DOMAINS)
    run(bag, 10_000.0, works)
    found = run(bag, 60_000.0, works)
    watchers = {entry for kind, entry in found if kind == 'Watch'}
    assert len([x for x in watchers if x[0] == 'a']) == 2
    assert len([x for x in watchers if x[0] == 'b']) == 2
    readers = {e for e, w in bag.worlds.items() if tasks.is_reader(w)}
    assert watchers == readers


def test_another_entry_reads_in_place_of_a_dead_one():
    bag = member_network.new_network(DOMAINS)
    run(bag, 10_000.0, works)
    readers = {e for e, w in bag.worlds.items() if tasks.is_reader(w)}
    bag.stopped.add(min(readers))
    run(bag, 20_000.0, works)
    alive = set(bag.worlds) - bag.stopped
    now = {e for e in alive if tasks.is_reader(bag.worlds[e])}
    assert len(now) == 4
    assert readers - bag.stopped < now


def test_a_long_outage_is_met_with_few_calls_and_soon_seen_over():
    bag = member_network.new_network(DOMAINS)
    run(bag, 60_000.0, fails)
    during = run(bag, 120_000.0, fails)
    assert sum(during.values()) <= 60 * 2 * 4
    after = run(bag, 127_000.0, works)
    assert any(kind == 'Read' for kind, _ in after)


def test_a_start_of_all_at_once_is_spread_out():
    bag = member_network.new_network({'a': 50, 'b': 50})
    seen = []
    while bag.now_ms < 3_000.0:
        found = run(bag, bag.now_ms + 100.0, lambda _: None)
        seen.append(sum(found.values()))
    assert max(seen) <= 30
    assert sum(seen) < 2 * 100


def test_a_version_that_is_too_old_is_read_afresh():
    world = alone()
    now_ms = 3_000.0
    made = _calls(world, now_ms)
    for result, wanted in (
        (store.Found('state', b'', 7), store.Watch('state', 7)),
        (store.Unchanged('state'), store.Watch('state', 7)),
        (store.TooOld('state'), store.Read('state')),
        (store.Missing('state'), store.Watch('state', 0)),
    ):
        [call_id] = [x.call_id for x in made if x.call.name == 'state']
        done = inp.StoreDone(call_id, result)
        made = list(core.tick(world, now_ms, [done]))
        made = [x for x in made if isinstance(x, out.CallStore)]
        now_ms += 1_000.0
        made += _calls(world, now_ms)
        assert [x.call for x in made if x.call.name == 'state'] == [wanted]


def alone():
    world = member_network.new_world('a0', 'a')
    list(core.tick(world, 0.0, [inp.PeerSeen('a0', 'a', 'a0:1')]))
    return world


def _calls(world, now_ms):
    outputs = core.tick(world, now_ms, [])
    return [x for x in outputs if isinstance(x, out.CallStore)]


def test_a_call_whose_end_is_lost_is_made_again():
    world = alone()
    first = _calls(world, 3_000.0)
    late_ms = 3_000.0 + const.CALL_TIMEOUT_MS + const.LOST_MARGIN_MS
    _calls(world, late_ms + const.CALL_TIMEOUT_MS)
    again = _calls(world, late_ms + 30_000.0)
    assert len(first) == 2
    assert {x.call for x in again} == {x.call for x in first}
    assert {x.call_id for x in again}.isdisjoint(x.call_id for x in first)


def test_the_budget_is_a_share_of_the_fleet():
    bag = member_network.new_network({'a': 30})
    world = bag.worlds['a0']
    write = store.Update('keys-1', b'', 1)
    for second in range(10):
        for _ in range(100):
            limits.open_call(world, second * 1_000.0, write)
    share = const.FLEET_WRITES_PER_S / 30
    written = sum(row.call == write for row in world.store.open_calls.values())
    assert written <= const.BURST_CALLS + 10 * share
    assert world.counters['store.over_budget'] > 0


def test_all_restart_together_while_the_store_is_slow():
    bag = member_network.new_network({'a': 20, 'b': 20})
    state = samples.state(number=9)
    waiting, calls = [], 0
    while bag.now_ms < 10_000.0:
        member_network.run_until(bag, bag.now_ms + 100.0)
        waiting, bag.store_calls, calls = (
            waiting + bag.store_calls,
            [],
            calls + len(bag.store_calls),
        )
        due = [x for x in waiting if bag.now_ms - x[0] >= 2_000.0]
        waiting = [x for x in waiting if x not in due]
        for _, entry, output in due:
            result = works(output.call)
            if result is not None:
                done = inp.StoreDone(output.call_id, result)
                read = [inp.StateRead(state)] if 'state' in str(result) else []
                member_network.feed(bag, entry, *read, done)
    numbers = {w.states['in-force'].number for w in bag.worlds.values()}
    assert numbers == {9}
    assert calls <= 2 * 40


def test_a_list_in_pages_is_read_to_its_end_at_once():
    asked = collections.Counter()

    def in_pages(call):
        if not isinstance(call, store.ListVms):
            return works(call)
        asked[call.after] += 1
        after = {'': 'e500', 'e500': 'e900', 'e900': ''}[call.after]
        return store.Listed(next_after=after)

    bag = member_network.new_network(DOMAINS)
    run(bag, 5_000.0, in_pages)
    assert asked['e900'] == asked['e500'] == asked[''] > 0
