"""Test that states spread between entries and never revert."""

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


def numbered_state(number, upstreams=(), digest=None):
    rows = {
        name: tickets.UpstreamRow(name, 'intake', 'a', '10.0.0.1:1', 3, 9)
        for name in upstreams
    }
    note = tickets.TicketNote(number, digest or f'd{number}', 'ann', 1.0)
    state = samples.state(number=number)
    return state._replace(upstreams=rows, history=(note,))


def large_state(number, rows=400):
    return numbered_state(number, [f'up-{n:04}' for n in range(rows)])


def numbers_in_force(network):
    return [w.states[const.IN_FORCE].number for w in network.worlds.values()]


def settled_fleet(domains, seed=1):
    network = member_network.new_network(domains, seed)
    member_network.run_until(network, 5_000.0)
    return network


def deliver(world, message, now_ms=1.0):
    return list(core.tick(world, now_ms, [inp.PeerMessage(PEER, message)]))


@settings
@hypothesis.given(st.sets(st.integers(0, 300)), st.sets(st.integers(0, 300)))
def test_a_delta_turns_the_earlier_state_into_the_later(before, after):
    earlier = numbered_state(1, [f'up-{n}' for n in before])
    later = numbered_state(2, [f'up-{n}' for n in after])
    assert (
        parts.apply_delta(earlier, parts.make_delta(earlier, later)) == later
    )


@settings
@hypothesis.given(st.integers(0, 300))
def test_joined_parts_equal_the_state(rows):
    state = large_state(3, rows)
    parts_by_number = {
        n: parts.part(state, n) for n in range(parts.part_count(state))
    }
    assert parts.join(parts_by_number) == state
    assert all(
        parts.row_count(x) <= const.PART_ROWS for x in parts_by_number.values()
    )


def test_a_ticket_reaches_every_entry_in_two_seconds():
    network = settled_fleet({'a': 12, 'b': 12, 'c': 12})
    for number in (1, 2, 3):
        read = inp.StateRead(numbered_state(number, [f'up-{number}']))
        member_network.feed(network, 'a0', read)
        member_network.run_until(network, network.now_ms + 2_000.0)
        assert set(numbers_in_force(network)) == {number}
    assert network.sent_counts['StateDelta'] >= 2 * 35


def test_lost_messages_only_delay_a_ticket():
    network = settled_fleet({'a': 6, 'b': 6})
    network.drop_share = 0.3
    member_network.feed(network, 'a0', inp.StateRead(large_state(1)))
    member_network.run_until(network, network.now_ms + 30_000.0)
    assert set(numbers_in_force(network)) == {1}


def test_a_new_entry_gets_a_large_state_from_peers_in_ten_seconds():
    network = settled_fleet({'a': 6, 'b': 6})
    state = large_state(5)
    member_network.feed(network, 'a0', inp.StateRead(state))
    member_network.run_until(network, 30_000.0)
    assert set(numbers_in_force(network)) == {5}
    network.worlds['a9'] = member_network.new_world('a9', 'a')
    member_network.feed(network, 'a9', inp.PeerSeen('a1', 'a', 'a1:1'))
    member_network.run_until(network, network.now_ms + 10_000.0)
    assert network.worlds['a9'].states[const.IN_FORCE] == state


def test_no_entry_reverts_to_an_older_state_after_a_partition():
    network = settled_fleet({'a': 4, 'b': 4})
    member_network.feed(network, 'a0', inp.StateRead(numbered_state(1)))
    member_network.run_until(network, 10_000.0)
    network.isolated = {entry for entry in network.worlds if entry[0] == 'a'}
    member_network.feed(network, 'a0', inp.StateRead(numbered_state(2)))
    member_network.run_until(network, 30_000.0)
    assert sorted(numbers_in_force(network)) == [1] * 4 + [2] * 4
    network.isolated = set()
    highest = numbers_in_force(network)
    while network.now_ms < 60_000.0:
        member_network.run_until(network, network.now_ms + 100.0)
        assert all(
            x >= y
            for x, y in zip(numbers_in_force(network), highest, strict=True)
        )
        highest = numbers_in_force(network)
    assert set(highest) == {2}


def test_older_and_conflicting_states_are_refused_and_counted():
    world = samples.world()
    list(core.tick(world, 0.0, [inp.StateRead(numbered_state(5))]))
    deliver(world, tickets.StateData(numbered_state(4)))
    assert world.counters['tickets.older_refused'] == 1
    outputs = deliver(
        world, tickets.StateData(numbered_state(5, digest='other'))
    )
    assert (
        out.LogChange('tickets', 'conflict over 5', 'd5', 'other') in outputs
    )
    list(core.tick(world, 0.0, [inp.StateRead(numbered_state(5, digest='x'))]))
    assert world.counters['tickets.conflicts'] == 2
    assert parts.digest(world.states[const.IN_FORCE]) == 'd5'
    delta = parts.make_delta(numbered_state(4), numbered_state(6))
    deliver(world, delta)
    assert world.counters['tickets.delta_refused'] == 1
    assert world.states[const.IN_FORCE].number == 5


def test_parts_of_two_states_are_not_mixed():
    world = samples.world()
    first, second = large_state(5), large_state(5, 300)
    second = second._replace(history=numbered_state(5, digest='other').history)
    deliver(world, tickets.StateData(parts.part(first, 0), 0, 7))
    deliver(world, tickets.StateData(parts.part(second, 1), 1, 5))
    deliver(world, tickets.StateData(parts.part(first, 0), 9, 7))
    assert world.counters['tickets.parts_refused'] == 2
    for number in range(1, 7):
        deliver(world, tickets.StateData(parts.part(first, number), number, 7))
    assert world.states[const.IN_FORCE] == first


def test_rows_served_to_peers_stay_within_the_budget():
    world = samples.world()
    list(core.tick(world, 0.0, [inp.StateRead(large_state(5))]))
    row_counts = [
        parts.row_count(output.message.state)
        for number in range(100)
        for output in deliver(world, tickets.StateAsk(0), 1.0 + 10.0 * number)
        if isinstance(output, out.SendPeer)
    ]
    rows_max = const.SERVED_ROWS_BURST + const.SERVED_ROWS_PER_S
    assert sum(row_counts) <= rows_max
    assert world.counters['tickets.serve_refused'] > 0


def requested_parts(outputs):
    return [
        output.message.part
        for output in outputs
        if isinstance(output, out.SendPeer)
        and isinstance(output.message, tickets.StateAsk)
    ]


def test_a_new_entry_requests_one_part_per_holder_and_round():
    world = samples.world()
    world.states[const.IN_FORCE] = tickets.empty_state()
    state = large_state(5)
    assert requested_parts(deliver(world, tickets.StateNumber(5, 'd5'))) == [0]
    data = [
        tickets.StateData(parts.part(state, number), number, 7)
        for number in range(7)
    ]
    assert requested_parts(deliver(world, data[0])) == [1]
    assert requested_parts(deliver(world, data[1])) == []
    due_ms = 1.0 + const.ASK_TIMEOUT_MS
    assert requested_parts(core.tick(world, due_ms, [])) == [2]


def test_an_entry_that_is_behind_requests_parts_without_a_pause():
    world = samples.world()
    state = large_state(5)
    data = [
        tickets.StateData(parts.part(state, number), number, 7)
        for number in range(7)
    ]
    assert requested_parts(deliver(world, data[0])) == [1, 2, 3, 4, 5, 6]


def test_a_large_ticket_reaches_every_entry_in_two_seconds():
    network = settled_fleet({'a': 20, 'b': 20})
    member_network.feed(network, 'a0', inp.StateRead(numbered_state(1)))
    member_network.run_until(network, network.now_ms + 2_000.0)
    member_network.feed(network, 'a0', inp.StateRead(large_state(2)))
    member_network.run_until(network, network.now_ms + 2_000.0)
    assert set(numbers_in_force(network)) == {2}
