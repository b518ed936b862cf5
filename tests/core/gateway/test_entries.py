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
