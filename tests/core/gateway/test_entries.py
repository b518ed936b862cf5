"""Name live entries to callers."""

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


def beat(entry, incarnation=1, leaving=False, per_s=0.0):
    return inp.HeartbeatReceived(
        models.Heartbeat(
            entry, incarnation, leaving, True, requests_per_s=per_s
        )
    )


def fleet():
    world = samples.served()
    rows = tuple(samples.entry_row(name) for name in ('entry-1', *OTHERS))
    samples.feed(world, 0.0, inp.EntriesListed(rows))
    samples.feed(world, 1.0, *map(beat, OTHERS))
    return world


def named(world, now_ms):
    return set(selection.addresses(world, now_ms, 'guj-a', 'guj'))


def test_live_entries_are_named():
    assert named(fleet(), 10.0) == {f'{x}:1' for x in ('entry-1', *OTHERS)}


def test_a_silent_entry_is_not_named():
    world = fleet()
    samples.feed(world, 5_000.0, beat('entry-2'), beat('entry-3'))
    assert 'entry-4:1' not in named(world, 5_001.0)


def test_a_leaving_entry_is_not_named():
    world = fleet()
    samples.feed(world, 20.0, beat('entry-2', leaving=True))
    assert 'entry-2:1' not in named(world, 21.0)


def test_an_entry_that_was_never_heard_is_not_named():
    world = fleet()
    row = samples.entry_row('entry-9')
    samples.feed(world, 20.0, inp.EntryRegistered(row))
    assert 'entry-9:1' not in named(world, 21.0)


def test_a_stopping_entry_tells_the_others_and_leaves_itself_out():
    world = fleet()
    outputs = samples.feed(world, 30.0, inp.StopRequested())
    (sent,) = samples.only(outputs, out.SendHeartbeat)
    assert sent.heartbeat.leaving
    assert 'entry-1:1' not in named(world, 31.0)
    assert not members.is_ready(world)


def test_an_older_run_says_nothing_of_the_newer_one():
    world = fleet()
    samples.feed(world, 30.0, beat('entry-2', incarnation=5))
    samples.feed(world, 31.0, beat('entry-2', incarnation=4, leaving=True))
    assert 'entry-2:1' in named(world, 32.0)


def test_the_registration_of_the_long_dead_is_removed_under_its_revision():
    world = fleet()
    samples.feed(world, 2.0, inp.Started())
    touch = samples.stored(world, store.Kind.DRAINS, store.Changed((), 1))
    samples.feed(world, 3.0, touch)
    removed = []
    for second in range(1, 40):
        alive = map(beat, OTHERS[:2])
        outputs = samples.feed(world, 1_000.0 * second, *alive)
        calls = samples.only(outputs, out.CallStore)
        removed += [x.call for x in calls if x.kind == 'removal']
    assert [x.row.entry for x in removed] == ['entry-4']


def test_an_entry_that_starts_and_the_others_learn_of_each_other():
    world = fleet()
    own = inp.EntryRegistered(samples.entry_row('entry-9', revision=0))
    announced = inp.PeerChanges(store.Kind.ENTRIES, 0, 0, (own,), 'entry-9')
    outputs = samples.feed(world, 20.0, announced)
    (sent,) = samples.only(outputs, out.SendHeartbeat)
    assert sent.addresses == ('entry-9:2',)
    (told,) = samples.only(outputs, out.SendChanges)
    (item,) = told.changes.items
    assert item.row.entry == 'entry-1'
    samples.feed(world, 21.0, beat('entry-9'))
    assert 'entry-9:1' in named(world, 22.0)
    assert not samples.only(
        samples.feed(world, 23.0, announced), out.SendChanges
    )


def test_a_list_that_is_older_than_an_announcement_removes_nobody():
    world = fleet()
    rows = tuple(samples.entry_row(name) for name in ('entry-1', 'entry-2'))
    samples.feed(world, 20.0, inp.EntriesListed(rows))
    assert 'entry-3:1' in named(world, 21.0)


def test_a_run_that_began_before_a_clock_was_set_back_is_heard_again():
    """A clock set back made the next run look like an earlier one."""
    world = fleet()
    samples.feed(world, 30.0, beat('entry-2', incarnation=9_000))
    samples.feed(world, 6_000.0, beat('entry-2', incarnation=5))
    assert 'entry-2:1' in named(world, 6_001.0)


def registration(world, *rows):
    outputs = samples.feed(world, 3.0, inp.EntriesListed(rows))
    return [x.call for x in samples.only(outputs, out.CallStore)]


def test_an_entry_registers_once_it_has_read_what_is_registered():
    world = samples.served()
    (call,) = registration(world)
    assert (call.row.entry, call.row.revision) == ('entry-1', 0)
    assert registration(world, call.row._replace(revision=8)) == []


def test_a_registration_of_an_earlier_run_is_replaced_at_its_revision():
    world = samples.served()
    earlier = samples.entry_row('entry-1', revision=8)._replace(incarnation=0)
    (call,) = registration(world, earlier)
    assert (call.row.incarnation, call.row.revision) == (1, 8)


def test_a_conflict_shows_the_revision_at_which_to_register():
    world = samples.served()
    registration(world)
    found = samples.entry_row('entry-1', revision=8)._replace(incarnation=0)
    outputs = samples.feed(
        world, 4.0, inp.StoreDone('registration', store.Conflict(found))
    )
    ((call),) = [x.call for x in samples.only(outputs, out.CallStore)]
    assert (call.row.incarnation, call.row.revision) == (1, 8)


def test_an_entry_whose_registration_was_removed_makes_a_new_one():
    world = samples.served()
    registration(world, samples.entry_row('entry-1', revision=8))
    outputs = samples.feed(world, 4.0, inp.EntryDeregistered('entry-1'))
    ((call),) = [x.call for x in samples.only(outputs, out.CallStore)]
    assert call.row.revision == 0


def unequal(per_s, strong=('entry-2', 'entry-3')):
    """Return a world with two strong entries, and what each one gets."""
    world = samples.served()._replace(node=samples.node()._replace(speed=0.3))
    rows = [
        samples.entry_row(name)._replace(speed=2.0 if name in strong else 0.3)
        for name in ('entry-1', *OTHERS)
    ]
    samples.feed(world, 0.0, inp.EntriesListed(tuple(rows)))
    samples.feed(world, 1.0, *(beat(name, per_s=per_s) for name in OTHERS))
    return world


def test_callers_use_the_strong_entries():
    """With all 134 named, each knew next to nothing of upstreams' loads."""
    assert named(unequal(20.0), 10.0) == {'entry-2:1', 'entry-3:1'}


def test_callers_use_all_entries_where_the_strong_ones_are_not_enough():
    assert len(named(unequal(900.0), 10.0)) == 4


def test_callers_use_all_entries_where_one_alone_is_strong():
    assert len(named(unequal(20.0, strong=('entry-2',)), 10.0)) == 4


def test_entries_of_one_speed_are_named_together():
    assert len(named(unequal(20.0, strong=()), 10.0)) == 4


def test_a_rate_that_changes_is_no_news():
    world = fleet()
    outputs = samples.feed(world, 20.0, beat('entry-2', per_s=40.0))
    assert not samples.only(outputs, out.LogStateChange)


def sent_to(name, count, rounds=4, per_s=0.0):
    """Return how often an entry beats to each region in some rounds."""
    names = [f'entry-{number}' for number in range(1, count + 1)]
    world = gateway.new_world(samples.node(name), seed=1)
    abroad = samples.entry_row('other', 'tn-a')
    rows = (*map(samples.entry_row, names), abroad)
    samples.feed(world, 0.0, inp.EntriesListed(rows), inp.Started())
    world.entries.traffic[0] = models.TrafficRow(requests_per_s=per_s)
    found = collections.Counter()
    for number in range(rounds):
        now_ms = 1_200.0 * (number + 1)
        others = [beat(x) for x in names if x != name]
        world.counters['requests.arrived'] += int(per_s * 1.2)
        outputs = samples.feed(world, now_ms, *others)
        for sent in samples.only(outputs, out.SendHeartbeat):
            found['abroad'] += abroad.peer_address in sent.addresses
            found['home'] += len(sent.addresses) > 1
    return found


def test_some_entries_of_a_region_speak_to_the_others():
    """With 134 entries, beats were most of the bytes between regions."""
    found = [sent_to(f'entry-{n}', 12) for n in range(1, 13)]
    assert sum(x['abroad'] > 0 for x in found) == const.REMOTE_SENDERS


def test_an_entry_without_callers_beats_less_often():
    found = [sent_to(f'entry-{n}', 12)['home'] for n in range(1, 13)]
    assert (
        sorted(found)
        == [2] * (12 - const.REMOTE_SENDERS) + [4] * const.REMOTE_SENDERS
    )
    used = [sent_to(f'entry-{n}', 12, per_s=9.0) for n in range(1, 13)]
    assert {x['home'] for x in used} == {4}
