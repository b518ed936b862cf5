"""Spread states between entries, and never go back."""

import hypothesis
from hypothesis import strategies as st

from core.components.members import member_network
from core import samples
import zinnialead_core as core
from zinnialead_core.components import tickets
from zinnialead_core.components.tickets import const
from zinnialead_core.components.tickets import parts
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out

PEER = ids.EntryRef('e9', 1)
settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=50
)


def numbered(number, upstreams=(), digest=None):
    rows = {
        name: tickets.UpstreamRow(name, 'intake', 'a', '10.0.0.1:1', 3, 9)
        for name in upstreams
    }
    note = tickets.TicketNote(number, digest or f'd{number}', 'ann', 1.0)
    state = samples.state(number=number)
    return state._replace(upstreams=rows, history=(note,))


def large(number, rows=400):
    return numbered(number, [f'up-{n:04}' for n in range(rows)])


def in_force(bag):
    return [w.states[const.IN_FORCE].number for w in bag.worlds.values()]


def settled(domains, seed=1):
    bag = member_network.new_network(domains, seed)
    member_network.run_until(bag, 5_000.0)
    return bag


def hear(world, message, now_ms=1.0):
    return list(core.tick(world, now_ms, [inp.PeerMessage(PEER, message)]))


@settings
@hypothesis.given(st.sets(st.integers(0, 300)), st.sets(st.integers(0, 300)))
def test_a_delta_makes_the_later_state_of_the_earlier(before, after):
    one = numbered(1, [f'up-{n}' for n in before])
    two = numbered(2, [f'up-{n}' for n in after])
    assert parts.applied(one, parts.delta(one, two)) == two


@settings
@hypothesis.given(st.integers(0, 300))
def test_the_parts_make_the_whole(rows):
    state = large(3, rows)
    found = {n: parts.part(state, n) for n in range(parts.count(state))}
    assert parts.joined(found) == state
    assert all(parts.size(x) <= const.PART_ROWS for x in found.values())


def test_a_ticket_reaches_every_entry_in_two_seconds():
    bag = settled({'a': 12, 'b': 12, 'c': 12})
    for number in (1, 2, 3):
        read = inp.StateRead(numbered(number, [f'up-{number}']))
        member_network.feed(bag, 'a0', read)
        member_network.run_until(bag, bag.now_ms + 2_000.0)
        assert set(in_force(bag)) == {number}
    assert bag.sent_counts['StateDelta'] >= 2 * 35


def test_lost_messages_only_delay_a_ticket():
    bag = settled({'a': 6, 'b': 6})
    bag.drop_share = 0.3
    member_network.feed(bag, 'a0', inp.StateRead(large(1)))
    member_network.run_until(bag, bag.now_ms + 30_000.0)
    assert set(in_force(bag)) == {1}


def test_a_newcomer_gets_a_large_state_from_peers_in_ten_seconds():
    bag = settled({'a': 6, 'b': 6})
    state = large(5)
    member_network.feed(bag, 'a0', inp.StateRead(state))
    member_network.run_until(bag, 30_000.0)
    assert set(in_force(bag)) == {5}
    bag.worlds['a9'] = member_network.new_world('a9', 'a')
    member_network.feed(bag, 'a9', inp.PeerSeen('a1', 'a', 'a1:1'))
    member_network.run_until(bag, bag.now_ms + 10_000.0)
    assert bag.worlds['a9'].states[const.IN_FORCE] == state


def test_no_entry_goes_back_over_partition_and_heal():
    bag = settled({'a': 4, 'b': 4})
    member_network.feed(bag, 'a0', inp.StateRead(numbered(1)))
    member_network.run_until(bag, 10_000.0)
    bag.isolated = {entry for entry in bag.worlds if entry[0] == 'a'}
    member_network.feed(bag, 'a0', inp.StateRead(numbered(2)))
    member_network.run_until(bag, 30_000.0)
    assert sorted(in_force(bag)) == [1] * 4 + [2] * 4
    bag.isolated = set()
    highest = in_force(bag)
    while bag.now_ms < 60_000.0:
        member_network.run_until(bag, bag.now_ms + 100.0)
        assert all(x >= y for x, y in zip(in_force(bag), highest, strict=True))
        highest = in_force(bag)
    assert set(highest) == {2}


def test_older_and_contradicting_states_are_refused_and_counted():
    world = samples.world()
    list(core.tick(world, 0.0, [inp.StateRead(numbered(5))]))
    hear(world, tickets.StateData(numbered(4)))
    assert world.counters['tickets.older_refused'] == 1
    told = hear(world, tickets.StateData(numbered(5, digest='other')))
    assert out.LogChange('tickets', 'conflict over 5', 'd5', 'other') in told
    list(core.tick(world, 0.0, [inp.StateRead(numbered(5, digest='x'))]))
    assert world.counters['tickets.conflicts'] == 2
    assert parts.digest(world.states[const.IN_FORCE]) == 'd5'
    delta = parts.delta(numbered(4), numbered(6))
    hear(world, delta)
    assert world.counters['tickets.delta_refused'] == 1
    assert world.states[const.IN_FORCE].number == 5


def test_parts_of_two_states_are_not_mixed():
    world = samples.world()
    one, two = large(5), large(5, 300)
    two = two._replace(history=numbered(5, digest='other').history)
    hear(world, tickets.StateData(parts.part(one, 0), 0, 7))
    hear(world, tickets.StateData(parts.part(two, 1), 1, 5))
    hear(world, tickets.StateData(parts.part(one, 0), 9, 7))
    assert world.counters['tickets.parts_refused'] == 2
    for number in range(1, 7):
        hear(world, tickets.StateData(parts.part(one, number), number, 7))
    assert world.states[const.IN_FORCE] == one


def test_what_a_peer_is_served_is_bounded():
    world = samples.world()
    list(core.tick(world, 0.0, [inp.StateRead(large(5))]))
    served = [
        parts.size(output.message.state)
        for number in range(100)
        for output in hear(world, tickets.StateAsk(0), 1.0 + 10.0 * number)
        if isinstance(output, out.SendPeer)
    ]
    rows = const.SERVED_ROWS_BURST + const.SERVED_ROWS_PER_S
    assert sum(served) <= rows
    assert world.counters['tickets.serve_refused'] > 0


def asked_parts(outputs):
    return [
        output.message.part
        for output in outputs
        if isinstance(output, out.SendPeer)
        and isinstance(output.message, tickets.StateAsk)
    ]


def test_a_newcomer_asks_one_holder_for_one_part_in_a_round():
    world = samples.world()
    world.states[const.IN_FORCE] = tickets.empty_state()
    state = large(5)
    assert asked_parts(hear(world, tickets.StateNumber(5, 'd5'))) == [0]
    data = [
        tickets.StateData(parts.part(state, number), number, 7)
        for number in range(7)
    ]
    assert asked_parts(hear(world, data[0])) == [1]
    assert asked_parts(hear(world, data[1])) == []
    due_ms = 1.0 + const.ASK_TIMEOUT_MS
    assert asked_parts(core.tick(world, due_ms, [])) == [2]


def test_an_entry_that_is_behind_asks_for_parts_without_a_pause():
    world = samples.world()
    state = large(5)
    data = [
        tickets.StateData(parts.part(state, number), number, 7)
        for number in range(7)
    ]
    assert asked_parts(hear(world, data[0])) == [1, 2, 3, 4, 5, 6]


def test_a_ticket_that_changes_much_is_in_force_in_time():
    bag = settled({'a': 20, 'b': 20})
    member_network.feed(bag, 'a0', inp.StateRead(numbered(1)))
    member_network.run_until(bag, bag.now_ms + 2_000.0)
    member_network.feed(bag, 'a0', inp.StateRead(large(2)))
    member_network.run_until(bag, bag.now_ms + 2_000.0)
    assert set(in_force(bag)) == {2}
