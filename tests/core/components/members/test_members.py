"""Check the members tables after crashes, partitions and restarts."""

import hypothesis
from hypothesis import strategies as st

from core.components.members import member_network
import zinnialead_core as core
from zinnialead_core.components import members
from zinnialead_core.components.members import const
from zinnialead_core.components.members import coordinator
from zinnialead_core.components.members import messages
from zinnialead_core.components.members import updates
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out

ALIVE, SUSPECT, LEAVING, DEAD = members.Health
DOMAINS = {'a': 4, 'b': 4, 'c': 4}


def settled(domains=None, seed=1):
    network = member_network.new_network(domains or DOMAINS, seed)
    member_network.run_until(network, 10_000.0)
    return network


def kill(network, entry):
    network.stopped.add(entry)
    return network.now_ms


def test_a_crash_is_detected_in_its_domain_within_two_seconds():
    for seed in range(5):
        network = settled(seed=seed)
        died_ms = kill(network, 'a0')
        member_network.run_until(network, died_ms + 2_500.0)
        delays_ms = [
            at_ms - died_ms
            for at_ms, viewer, entry, after in network.health_changes
            if (viewer[0], entry, after) == ('a', 'a0', 'dead 1')
        ]
        assert len(delays_ms) == 3
        assert min(delays_ms) <= 2_000.0
        member_network.run_until(network, died_ms + 10_000.0)
        assert member_network.health_seen_by_others(network, 'a0') == {DEAD}


def test_systems_are_notified_of_joined_and_lost_members():
    world = member_network.new_world('a0', 'a')
    events, listed = [], inp.PeerSeen('a1', 'a', 'a1:1')
    alive = members.MemberRow('a1', 1, 'a', 'a1:1', ALIVE, 0.0, 0)
    restarted = alive._replace(incarnation=2)
    dead = restarted._replace(health=DEAD)
    ref = world.node.ref._replace(entry='b0')
    for event in (listed, *(_news(ref, x) for x in (alive, restarted, dead))):
        for output in coordinator.run(world, 0.0, [event]):
            match output:
                case out.Notify(inp.MemberJoined(who)):
                    events.append(('joined', *who))
                case out.Notify(inp.MemberLost(who)):
                    events.append(('lost', *who))
    assert events == [
        ('joined', 'a0', 1),
        ('joined', 'a1', 0),
        ('joined', 'a1', 1),
        ('lost', 'a1', 1),
        ('joined', 'a1', 2),
        ('lost', 'a1', 2),
    ]


def _news(sender, *rows):
    return inp.PeerMessage(sender, messages.News(rows))


def test_members_recover_after_a_partition_heals():
    network = settled()
    network.isolated = {
        entry for entry in network.worlds if entry.startswith('a')
    }
    member_network.run_until(network, network.now_ms + 60_000.0)
    assert member_network.health(network, 'a0', 'b0') is DEAD
    assert member_network.health(network, 'b0', 'a0') is DEAD
    assert member_network.health(network, 'a0', 'a1') is ALIVE
    network.isolated = set()
    member_network.run_until(network, network.now_ms + 60_000.0)
    assert member_network.all_alive(network)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=6)
@hypothesis.given(
    st.integers(0, 99), st.floats(0.0, 0.15), st.floats(0.0, 100.0)
)
def test_lost_and_late_messages_leave_no_entry_dead(seed, drop, delay_ms):
    network = settled({'a': 3, 'b': 3}, seed)
    network.drop_share, network.delay_max_ms = drop, delay_ms
    member_network.run_until(network, network.now_ms + 20_000.0)
    network.drop_share, network.delay_max_ms = 0.0, 0.0
    member_network.run_until(network, network.now_ms + 60_000.0)
    assert member_network.all_alive(network)


def test_a_paused_entry_declares_no_peer_dead():
    network = settled()
    network.stopped.add('a0')
    member_network.run_until(network, network.now_ms + 30_000.0)
    assert member_network.health_seen_by_others(network, 'a0') == {DEAD}
    network.stopped.clear()
    network.health_changes.clear()
    member_network.feed(network, 'a0')
    assert network.worlds['a0'].counters['members.paused'] == 1
    member_network.run_until(network, network.now_ms + 30_000.0)
    assert not [
        x for x in network.health_changes if x[1] == 'a0' and 'dead' in x[3]
    ]
    assert member_network.all_alive(network)


def test_a_restart_replaces_the_old_incarnation():
    network = settled()
    network.worlds['a0'] = member_network.new_world('a0', 'a', incarnation=2)
    member_network.feed(network, 'a0', inp.PeerSeen('a1', 'a', 'a1:1'))
    member_network.run_until(network, network.now_ms + 10_000.0)
    rows = [world.members['a0'] for world in network.worlds.values()]
    assert {(row.incarnation, row.health) for row in rows} == {(2, ALIVE)}


def test_a_new_entry_learns_all_members_from_one_seed():
    network = settled({'a': 4, 'b': 70})
    network.worlds['a9'] = member_network.new_world('a9', 'a')
    member_network.feed(network, 'a9', inp.PeerSeen('a1', 'a', 'a1:1'))
    member_network.run_until(network, network.now_ms + 10_000.0)
    assert len(network.worlds['a9'].members) == 75


def test_leaving_is_announced_at_once_and_stays_until_death():
    network = settled()
    member_network.feed(network, 'a0', inp.StopRequested())
    member_network.run_until(network, network.now_ms + 10.0)
    healths = [
        member_network.health(network, f'a{n}', 'a0') for n in (1, 2, 3)
    ]
    assert healths == [LEAVING] * 3
    member_network.run_until(network, network.now_ms + 20_000.0)
    assert member_network.health_seen_by_others(network, 'a0') == {LEAVING}
    kill(network, 'a0')
    member_network.run_until(network, network.now_ms + 10_000.0)
    assert member_network.health_seen_by_others(network, 'a0') == {DEAD}


def test_an_entry_refutes_a_wrong_leaving_mark_from_the_list():
    network = settled()
    listing = inp.PeerSeen('a0', 'a', 'a0:1', leaving=True)
    member_network.feed(network, 'b0', listing)
    assert member_network.health(network, 'b0', 'a0') is LEAVING
    member_network.run_until(network, network.now_ms + 20_000.0)
    member_network.feed(network, 'b0', listing)
    assert member_network.health(network, 'b0', 'a0') is ALIVE


def test_a_lagging_list_neither_revives_nor_removes_entries():
    network = settled()
    kill(network, 'a0')
    member_network.run_until(network, network.now_ms + 20_000.0)
    listing = inp.PeerSeen('a0', 'a', 'a0:1')
    member_network.feed(network, 'b0', listing)
    assert member_network.health(network, 'b0', 'a0') is DEAD
    later_ms = network.now_ms + const.DEAD_RETENTION_MS
    for world in network.worlds.values():
        updates.remove_dead(world, later_ms)
    member_network.run_until(network, network.now_ms + 120_000.0)
    assert member_network.health_seen_by_others(network, 'a0') == {None}
    assert member_network.health_seen_by_others(network, 'a1') == {ALIVE}


def test_message_rate_and_news_size_do_not_grow_with_the_fleet():
    sent = []
    for size in (6, 24):
        network = settled({'a': size, 'b': size})
        member_network.run_until(network, 20_000.0)
        network.sent_counts.clear()
        member_network.run_until(network, 30_000.0)
        sent.append(sum(network.sent_counts.values()) / (2 * size))
    assert sent[1] <= sent[0] * 1.1
    [probe] = [
        output
        for output in core.tick(network.worlds['a0'], 31_000.0, [])
        if isinstance(output.message, messages.Probe)
    ][:1]
    assert len(probe.message.news) <= const.NEWS_ROWS_MAX


def test_an_isolated_domain_rejoins_without_a_burst():
    network = settled({'a': 6, 'b': 6, 'c': 6})
    network.isolated = {
        entry for entry in network.worlds if entry.startswith('a')
    }
    member_network.run_until(network, network.now_ms + 120_000.0)
    network.isolated = set()
    while not member_network.all_alive(network):
        network.sent_counts.clear()
        member_network.run_until(network, network.now_ms + 1_000.0)
        # Ten pushes to four peers, plus probes and their answers.
        assert sum(network.sent_counts.values()) <= 18 * (10 * 4 + 10)
    assert network.now_ms < 200_000.0


def test_entries_with_the_same_list_probe_in_different_orders():
    network = member_network.new_network({'a': 4, 'b': 40})
    orders = {
        tuple(world.probes.other_domain_order[-3:])
        for entry, world in network.worlds.items()
        if entry[0] == 'a'
    }
    assert len(orders) == 4
