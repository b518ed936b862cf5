"""Name live entries to callers."""

from core.gateway import samples
from zinnialead_core.gateway.entries import coordinator as entries
from zinnialead_core.gateway.entries import models
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import models as store

OTHERS = ('entry-2', 'entry-3', 'entry-4')


def beat(entry, incarnation=1, leaving=False):
    return inp.BeatHeard(models.Beat(entry, incarnation, leaving, True))


def fleet():
    world = samples.served()
    rows = tuple(samples.entry_row(name) for name in ('entry-1', *OTHERS))
    samples.feed(world, 0.0, inp.EntriesListed(rows))
    samples.feed(world, 1.0, *map(beat, OTHERS))
    return world


def named(world, now_ms):
    return set(entries.addresses(world, now_ms, 'guj-a', 'guj'))


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
    samples.feed(world, 20.0, inp.EntrySeen(row))
    assert 'entry-9:1' not in named(world, 21.0)


def test_a_stopping_entry_tells_the_others_and_leaves_itself_out():
    world = fleet()
    outputs = samples.feed(world, 30.0, inp.StopAsked())
    (sent,) = samples.only(outputs, out.SendBeat)
    assert sent.beat.leaving
    assert 'entry-1:1' not in named(world, 31.0)
    assert not entries.is_ready(world)


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
    own = inp.EntrySeen(samples.entry_row('entry-9', revision=0))
    announced = inp.ChangesTold(store.Kind.ENTRIES, 0, 0, (own,), 'entry-9')
    outputs = samples.feed(world, 20.0, announced)
    (sent,) = samples.only(outputs, out.SendBeat)
    assert sent.addresses == ('entry-9:2',)
    (told,) = samples.only(outputs, out.TellPeers)
    (item,) = told.told.items
    assert item.row.entry == 'entry-1'
    samples.feed(world, 21.0, beat('entry-9'))
    assert 'entry-9:1' in named(world, 22.0)
    assert not samples.only(
        samples.feed(world, 23.0, announced), out.TellPeers
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
    outputs = samples.feed(world, 4.0, inp.EntryGone('entry-1'))
    ((call),) = [x.call for x in samples.only(outputs, out.CallStore)]
    assert call.row.revision == 0
