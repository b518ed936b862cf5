"""Test tracking entries and selecting those that callers use."""

import collections

from core.gateway import samples
from zinnialead_core import gateway
from zinnialead_core.gateway.entries import const
from zinnialead_core.gateway.entries import members
from zinnialead_core.gateway.entries import models
from zinnialead_core.gateway.entries import selection
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import models as store

OTHERS = ('entry-2', 'entry-3', 'entry-4')


def heartbeat(entry, incarnation=1, leaving=False, per_s=0.0):
    return inp.HeartbeatReceived(
        models.Heartbeat(
            entry, incarnation, leaving, True, requests_per_s=per_s
        )
    )


def fleet():
    world = samples.serving_world()
    rows = tuple(samples.entry_row(name) for name in ('entry-1', *OTHERS))
    samples.feed(world, 0.0, inp.EntriesListed(rows))
    samples.feed(world, 1.0, *map(heartbeat, OTHERS))
    return world


def selected(world, now_ms):
    return set(selection.addresses(world, now_ms, 'guj-a', 'guj'))


def test_live_entries_are_selected():
    assert selected(fleet(), 10.0) == {f'{x}:1' for x in ('entry-1', *OTHERS)}


def test_a_silent_entry_is_not_selected():
    world = fleet()
    samples.feed(world, 5_000.0, heartbeat('entry-2'), heartbeat('entry-3'))
    assert 'entry-4:1' not in selected(world, 5_001.0)


def test_a_leaving_entry_is_not_selected():
    world = fleet()
    samples.feed(world, 20.0, heartbeat('entry-2', leaving=True))
    assert 'entry-2:1' not in selected(world, 21.0)


def test_an_entry_without_a_heartbeat_is_not_selected():
    world = fleet()
    row = samples.entry_row('entry-9')
    samples.feed(world, 20.0, inp.EntryRegistered(row))
    assert 'entry-9:1' not in selected(world, 21.0)


def test_a_stopping_entry_announces_it_and_excludes_itself():
    world = fleet()
    outputs = samples.feed(world, 30.0, inp.StopRequested())
    (sent,) = samples.of_type(outputs, out.SendHeartbeat)
    assert sent.heartbeat.leaving
    assert 'entry-1:1' not in selected(world, 31.0)
    assert not members.is_ready(world)


def test_a_heartbeat_of_an_older_run_is_ignored():
    world = fleet()
    samples.feed(world, 30.0, heartbeat('entry-2', incarnation=5))
    samples.feed(
        world, 31.0, heartbeat('entry-2', incarnation=4, leaving=True)
    )
    assert 'entry-2:1' in selected(world, 32.0)


def test_the_registration_of_a_dead_entry_is_removed():
    world = fleet()
    samples.feed(world, 2.0, inp.Started())
    store_answer = samples.store_done(
        world, store.Kind.DRAINS, store.Changed((), 1)
    )
    samples.feed(world, 3.0, store_answer)
    removed = []
    for second in range(1, 40):
        heartbeats = map(heartbeat, OTHERS[:2])
        outputs = samples.feed(world, 1_000.0 * second, *heartbeats)
        calls = samples.of_type(outputs, out.CallStore)
        removed += [x.call for x in calls if x.kind == 'removal']
    assert [x.row.entry for x in removed] == ['entry-4']


def test_a_starting_entry_and_the_others_exchange_registrations():
    world = fleet()
    registration = inp.EntryRegistered(
        samples.entry_row('entry-9', revision=0)
    )
    announcement = inp.PeerChanges(
        store.Kind.ENTRIES, 0, 0, (registration,), 'entry-9'
    )
    outputs = samples.feed(world, 20.0, announcement)
    (sent,) = samples.of_type(outputs, out.SendHeartbeat)
    assert sent.addresses == ('entry-9:2',)
    (sent_changes,) = samples.of_type(outputs, out.SendChanges)
    (change,) = sent_changes.changes.items
    assert change.row.entry == 'entry-1'
    samples.feed(world, 21.0, heartbeat('entry-9'))
    assert 'entry-9:1' in selected(world, 22.0)
    assert not samples.of_type(
        samples.feed(world, 23.0, announcement), out.SendChanges
    )


def test_only_entries_of_the_same_region_answer_a_registration():
    """Each of 195 entries answered each one that started with two messages."""
    world = fleet()
    remote = samples.entry_row('entry-8', 'tn-a')
    outputs = samples.feed(world, 20.0, inp.EntryRegistered(remote))
    sent = (out.SendHeartbeat, out.SendChanges)
    assert not any(samples.of_type(outputs, kind) for kind in sent)
    local = samples.entry_row('entry-9')
    outputs = samples.feed(world, 21.0, inp.EntryRegistered(local))
    assert all(samples.of_type(outputs, kind) for kind in sent)


def test_a_list_older_than_an_announcement_removes_no_entry():
    world = fleet()
    rows = tuple(samples.entry_row(name) for name in ('entry-1', 'entry-2'))
    samples.feed(world, 20.0, inp.EntriesListed(rows))
    assert 'entry-3:1' in selected(world, 21.0)


def test_a_run_after_the_clock_was_set_back_is_accepted():
    """After the clock was set back, the next run has a lower incarnation."""
    world = fleet()
    samples.feed(world, 30.0, heartbeat('entry-2', incarnation=9_000))
    samples.feed(world, 6_000.0, heartbeat('entry-2', incarnation=5))
    assert 'entry-2:1' in selected(world, 6_001.0)


def registration(world, *rows):
    outputs = samples.feed(world, 3.0, inp.EntriesListed(rows))
    return [x.call for x in samples.of_type(outputs, out.CallStore)]


def test_an_entry_registers_after_it_has_read_the_list():
    world = samples.serving_world()
    (call,) = registration(world)
    assert (call.row.entry, call.row.revision) == ('entry-1', 0)
    assert registration(world, call.row._replace(revision=8)) == []


def test_the_registration_of_an_earlier_run_is_replaced():
    world = samples.serving_world()
    earlier = samples.entry_row('entry-1', revision=8)._replace(incarnation=0)
    (call,) = registration(world, earlier)
    assert (call.row.incarnation, call.row.revision) == (1, 8)


def test_after_a_conflict_the_found_revision_is_replaced():
    world = samples.serving_world()
    registration(world)
    existing_row = samples.entry_row('entry-1', revision=8)._replace(
        incarnation=0
    )
    outputs = samples.feed(
        world, 4.0, inp.StoreDone('registration', store.Conflict(existing_row))
    )
    ((call),) = [x.call for x in samples.of_type(outputs, out.CallStore)]
    assert (call.row.incarnation, call.row.revision) == (1, 8)


def test_after_a_conflict_an_unreadable_registration_is_replaced():
    world = samples.serving_world()
    registration(world)
    conflict = inp.StoreDone('registration', store.Conflict(None, 8))
    outputs = samples.feed(world, 4.0, conflict)
    ((call),) = [x.call for x in samples.of_type(outputs, out.CallStore)]
    assert (call.row.incarnation, call.row.revision) == (1, 8)


def test_an_entry_whose_registration_was_removed_registers_again():
    world = samples.serving_world()
    registration(world, samples.entry_row('entry-1', revision=8))
    outputs = samples.feed(world, 4.0, inp.EntryDeregistered('entry-1'))
    ((call),) = [x.call for x in samples.of_type(outputs, out.CallStore)]
    assert call.row.revision == 0


def unequal_speeds(per_s, fast=('entry-2', 'entry-3')):
    """Return a world of fast and slow entries with a rate of requests."""
    world = samples.serving_world()._replace(
        node=samples.node()._replace(speed=0.3)
    )
    rows = [
        samples.entry_row(name)._replace(speed=2.0 if name in fast else 0.3)
        for name in ('entry-1', *OTHERS)
    ]
    samples.feed(world, 0.0, inp.EntriesListed(tuple(rows)))
    samples.feed(
        world, 1.0, *(heartbeat(name, per_s=per_s) for name in OTHERS)
    )
    return world


def test_callers_use_the_fast_entries():
    """With all 134 selected, each had too few requests to know the loads."""
    assert selected(unequal_speeds(20.0), 10.0) == {'entry-2:1', 'entry-3:1'}


def test_callers_use_all_entries_if_the_fast_ones_do_not_suffice():
    assert len(selected(unequal_speeds(900.0), 10.0)) == 4


def test_callers_use_all_entries_if_only_one_is_fast():
    assert len(selected(unequal_speeds(20.0, fast=('entry-2',)), 10.0)) == 4


def test_entries_of_equal_speed_are_selected_together():
    assert len(selected(unequal_speeds(20.0, fast=()), 10.0)) == 4


def test_a_change_of_rate_is_not_logged():
    world = fleet()
    outputs = samples.feed(world, 20.0, heartbeat('entry-2', per_s=40.0))
    assert not samples.of_type(outputs, out.LogStateChange)


def count_heartbeats(name, count, rounds=4, per_s=0.0):
    """Count the heartbeats that an entry sends in some rounds."""
    names = [f'entry-{number}' for number in range(1, count + 1)]
    world = gateway.new_world(samples.node(name), seed=1)
    remote = samples.entry_row('other', 'tn-a')
    rows = (*map(samples.entry_row, names), remote)
    samples.feed(world, 0.0, inp.EntriesListed(rows), inp.Started())
    world.entries.traffic[0] = models.TrafficRow(requests_per_s=per_s)
    counts = collections.Counter()
    for number in range(rounds):
        now_ms = 1_200.0 * (number + 1)
        heartbeats = [heartbeat(x) for x in names if x != name]
        world.counters['requests.arrived'] += int(per_s * 1.2)
        outputs = samples.feed(world, now_ms, *heartbeats)
        for sent in samples.of_type(outputs, out.SendHeartbeat):
            counts['remote'] += remote.peer_address in sent.addresses
            counts['local'] += len(sent.addresses) > 1
    return counts


def test_some_entries_of_a_region_send_to_other_regions():
    """With 134 entries, heartbeats were most of the cross-region traffic."""
    counts = [count_heartbeats(f'entry-{n}', 12) for n in range(1, 13)]
    assert sum(x['remote'] > 0 for x in counts) == const.REMOTE_SENDERS


def test_an_entry_without_callers_sends_fewer_heartbeats():
    counts = [
        count_heartbeats(f'entry-{n}', 12)['local'] for n in range(1, 13)
    ]
    assert (
        sorted(counts)
        == [2] * (12 - const.REMOTE_SENDERS) + [4] * const.REMOTE_SENDERS
    )
    used = [
        count_heartbeats(f'entry-{n}', 12, per_s=9.0) for n in range(1, 13)
    ]
    assert {x['local'] for x in used} == {4}


def test_a_registration_of_an_earlier_run_does_not_replace_the_live_one():
    """An older copy of the store, or a list before it has registered."""
    world = fleet()
    present = samples.entry_row('entry-2', revision=0)._replace(incarnation=7)
    samples.feed(world, 20.0, inp.EntryRegistered(present))
    samples.feed(world, 21.0, heartbeat('entry-2', incarnation=7))
    earlier = samples.entry_row('entry-2', revision=40)
    samples.feed(world, 22.0, inp.EntryRegistered(earlier))
    assert world.entries.rows['entry-2'].incarnation == 7
    assert 'entry-2:1' in selected(world, 23.0)


def test_the_loss_of_a_domain_leaves_senders_to_other_regions():
    """Other regions would see a whole region silent with one domain."""
    names = [f'entry-{number}' for number in range(2, 13)]
    domains = {x: 'guj-a' if x < 'entry-5' else 'guj-b' for x in names}
    rows = [samples.entry_row(x, domains[x]) for x in names]
    senders = []
    for row in rows:
        node = samples.node(row.entry, row.domain)
        world = gateway.new_world(node, seed=1)
        samples.feed(world, 1.0, inp.EntriesListed(tuple(rows)))
        if members.sends_to_remote_regions(world, 2.0):
            senders.append(row.domain)
    assert sorted(senders) == ['guj-a', 'guj-a', 'guj-b', 'guj-b']
