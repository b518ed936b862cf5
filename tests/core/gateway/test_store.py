"""Test listing and watching the store, and its failures."""

import dataclasses

from core.gateway import samples
from zinnialead_core import gateway
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway.store import models as store
from zinnialead_core.gateway.store import snapshots

UPSTREAMS = store.Kind.UPSTREAMS


def started():
    world = gateway.new_world(samples.node(), seed=1)
    return world, samples.feed(world, 0.0, inp.Started())


def calls(outputs, kind=UPSTREAMS):
    return [
        x.call
        for x in samples.of_type(outputs, out.CallStore)
        if x.kind == kind
    ]


def until_called(world, now_ms, kind=UPSTREAMS):
    for step in range(200):
        store_calls = calls(samples.feed(world, now_ms + 50.0 * step), kind)
        if store_calls:
            return store_calls[0], now_ms + 50.0 * step
    raise AssertionError('no call came')


def test_every_kind_is_listed_and_then_watched():
    world, outputs = started()
    listed = {
        x.call.kind
        for x in samples.of_type(outputs, out.CallStore)
        if isinstance(x.call, store.ListKind)
    }
    assert listed == set(store.Kind)
    page = store.Listed(
        (inp.UpstreamRegistered(samples.upstream('u-1')),), None, 40
    )
    samples.feed(world, 1.0, samples.store_done(world, UPSTREAMS, page))
    call, _ = until_called(world, 1.0)
    assert call == store.WatchKind(UPSTREAMS, 40, call.wait_ms)
    assert 'u-1' in world.upstreams.rows


def test_a_list_in_pages_is_applied_after_the_last_page():
    world, _ = started()
    first = store.Listed(
        (inp.UpstreamRegistered(samples.upstream('a')),), 'a', 7
    )
    samples.feed(world, 1.0, samples.store_done(world, UPSTREAMS, first))
    assert not world.upstreams.rows
    call, now_ms = until_called(world, 1.0)
    assert call == store.ListKind(UPSTREAMS, 'a')
    last = store.Listed(
        (inp.UpstreamRegistered(samples.upstream('b')),), None, 9
    )
    samples.feed(world, now_ms, samples.store_done(world, UPSTREAMS, last))
    assert set(world.upstreams.rows) == {'a', 'b'}


def test_a_change_between_the_pages_of_a_list_is_not_missed():
    world, _ = started()
    row = samples.upstream('a', revision=5)
    first = store.Listed((inp.UpstreamRegistered(row),), 'a', 7, 5)
    samples.feed(world, 1.0, samples.store_done(world, UPSTREAMS, first))
    _, now_ms = until_called(world, 1.0)
    row = samples.upstream('b', revision=9)
    last = store.Listed((inp.UpstreamRegistered(row),), None, 10, 9)
    samples.feed(world, now_ms, samples.store_done(world, UPSTREAMS, last))
    snapshot = snapshots.snapshot(world, now_ms, UPSTREAMS)
    assert (snapshot.latest_revision, snapshot.synced_revision) == (7, 7)
    call, _ = until_called(world, now_ms)
    assert call == store.WatchKind(UPSTREAMS, 7, call.wait_ms)


def test_pages_that_are_not_applied_yet_close_no_gap():
    world = watching()
    samples.feed(world, 1_000.0, heartbeat(42))
    samples.feed(world, 1_500.0, heartbeat(42))
    _, now_ms = until_called(world, 1_500.0)
    row = samples.upstream('a', revision=42)
    page = store.Listed((inp.UpstreamRegistered(row),), 'a', 42, 42)
    samples.feed(world, now_ms, samples.store_done(world, UPSTREAMS, page))
    row = samples.upstream('b', revision=43)
    changes = inp.PeerChanges(
        UPSTREAMS, 42, 43, (inp.UpstreamRegistered(row),), 'entry-2'
    )
    samples.feed(world, now_ms, changes)
    snapshot = snapshots.snapshot(world, now_ms, UPSTREAMS)
    assert (snapshot.latest_revision, snapshot.items) == (40, ())


def test_an_upstream_told_between_the_pages_of_a_list_is_kept():
    world, _ = started()
    first = store.Listed((), 'a', 7)
    samples.feed(world, 1.0, samples.store_done(world, UPSTREAMS, first))
    _, now_ms = until_called(world, 1.0)
    told = inp.UpstreamRegistered(samples.upstream('0', revision=8))
    samples.feed(world, now_ms, told)
    last = store.Listed((), None, 9)
    samples.feed(world, now_ms, samples.store_done(world, UPSTREAMS, last))
    assert set(world.upstreams.rows) == {'0'}


def test_lost_history_is_followed_by_a_list():
    world, _ = started()
    page = store.Listed((), None, 40)
    samples.feed(world, 1.0, samples.store_done(world, UPSTREAMS, page))
    _, now_ms = until_called(world, 1.0)
    history_gone = samples.store_done(world, UPSTREAMS, store.HistoryGone())
    samples.feed(world, now_ms, history_gone)
    call, _ = until_called(world, now_ms)
    assert call == store.ListKind(UPSTREAMS, None)


def test_failures_are_followed_by_increasing_pauses():
    world, _ = started()
    now_ms = 1.0
    pauses = []
    for _ in range(6):
        failed = samples.store_done(world, UPSTREAMS, store.Failed('down'))
        samples.feed(world, now_ms, failed)
        _, later_ms = until_called(world, now_ms)
        pauses.append(later_ms - now_ms)
        now_ms = later_ms
    assert pauses[0] <= 150.0
    assert 500.0 <= pauses[-1] <= 1_300.0


def test_a_failed_registration_is_repeated():
    """The timer of the repeated registration once ended the process."""
    world, _ = started()
    conflict = inp.StoreDone('registration', store.Conflict())
    samples.feed(world, 1.0, conflict)
    call, _ = until_called(world, 1.0, 'registration')
    assert isinstance(call, store.RegisterEntry)


def heartbeat(latest, entry='entry-2'):
    revisions = [latest if kind is UPSTREAMS else 0 for kind in store.Kind]
    return inp.HeartbeatReceived(
        entries.Heartbeat(entry, 1, False, True, tuple(revisions))
    )


def watching(revision=40):
    world, _ = started()
    rows = (samples.entry_row('entry-2'),)
    page = store.Listed((), None, revision, revision)
    store_done = samples.store_done(world, UPSTREAMS, page)
    samples.feed(world, 1.0, inp.EntriesListed(rows), store_done)
    until_called(world, 1.0)
    return world


def test_a_watch_that_misses_changes_is_replaced_by_a_list():
    """A watch opened while the store lost its history reports no changes."""
    world = watching()
    samples.feed(world, 1_000.0, heartbeat(55))
    samples.feed(world, 1_500.0, heartbeat(55))
    call, _ = until_called(world, 1_500.0)
    assert call == store.ListKind(UPSTREAMS, None)


def told(revision, change):
    return inp.PeerChanges(
        UPSTREAMS, revision - 1, revision, (change,), 'entry-2'
    )


def test_a_list_older_than_what_others_told_brings_nothing_back():
    world = watching()
    registered = inp.UpstreamRegistered(samples.upstream('u-9', revision=41))
    samples.feed(world, 900.0, told(41, registered))
    samples.feed(world, 1_000.0, heartbeat(42))
    samples.feed(world, 1_500.0, heartbeat(42))
    _, now_ms = until_called(world, 1_500.0)
    removed = inp.UpstreamDeregistered('u-9')
    samples.feed(world, now_ms, told(42, removed))
    page = store.Listed((registered,), None, 41, 41)
    samples.feed(world, now_ms, samples.store_done(world, UPSTREAMS, page))
    assert not world.upstreams.rows
    call, now_ms = until_called(world, now_ms)
    assert call == store.ListKind(UPSTREAMS, None)
    # An answer that is older once more is not waited for any longer.
    samples.feed(world, now_ms, samples.store_done(world, UPSTREAMS, page))
    call, _ = until_called(world, now_ms)
    assert call == store.WatchKind(UPSTREAMS, 41, call.wait_ms)


def test_the_result_of_a_replaced_call_is_ignored():
    world = watching()
    old_result = samples.store_done(world, UPSTREAMS, store.HistoryGone())
    samples.feed(world, 1_000.0, heartbeat(55))
    samples.feed(world, 1_500.0, heartbeat(55))
    until_called(world, 1_500.0)
    call_number = world.store.watches[UPSTREAMS].call_number
    samples.feed(world, 1_600.0, old_result)
    assert world.store.watches[UPSTREAMS].call_number == call_number


def test_an_entry_without_the_store_requests_a_snapshot():
    world = watching()
    failed = samples.store_done(world, UPSTREAMS, store.Failed('cut off'))
    samples.feed(world, 900.0, failed)
    outputs = samples.feed(world, 1_000.0, heartbeat(55))
    (requested,) = samples.of_type(outputs, out.RequestSnapshots)
    assert requested == out.RequestSnapshots('entry-2:2', (UPSTREAMS,))
    items = (inp.UpstreamRegistered(samples.upstream('u-9', revision=55)),)
    snapshot = inp.PeerSnapshot(UPSTREAMS, 55, items, 'entry-2')
    samples.feed(world, 1_010.0, snapshot)
    assert 'u-9' in world.upstreams.rows
    assert not samples.of_type(
        samples.feed(world, 2_000.0, heartbeat(55)), out.RequestSnapshots
    )


def test_an_older_snapshot_is_ignored():
    world = watching()
    row = samples.upstream('u-1', revision=60)
    samples.feed(world, 900.0, inp.UpstreamRegistered(row))
    snapshot = inp.PeerSnapshot(UPSTREAMS, 39, (), 'entry-2')
    samples.feed(world, 1_010.0, snapshot)
    assert 'u-1' in world.upstreams.rows


def test_a_start_without_the_store_queries_the_seeds():
    node = samples.node()._replace(seeds=('10.0.0.9:1',))
    world = gateway.new_world(node, seed=1)
    samples.feed(world, 0.0, inp.Started())
    outputs = samples.feed(world, 700.0)
    (requested,) = samples.of_type(outputs, out.RequestSnapshots)
    assert requested.address == '10.0.0.9:1'
    assert set(requested.kinds) == set(store.Kind)


def start_with_seeds():
    node = samples.node()._replace(seeds=('10.0.0.8:1', '10.0.0.9:1'))
    world = gateway.new_world(node, seed=1)
    return world, samples.feed(world, 0.0, inp.Started())


CONFIGURATION = store.Kind.CONFIGURATION


def test_a_starting_entry_asks_the_seeds_before_the_store():
    world, outputs = start_with_seeds()
    requested = samples.of_type(outputs, out.RequestSnapshots)
    assert [x.address for x in requested] == ['10.0.0.8:1', '10.0.0.9:1']
    assert calls(outputs, CONFIGURATION) == []
    items = (inp.ConfigurationRead(samples.configuration(9), 'entry-2'),)
    snapshot = inp.PeerSnapshot(CONFIGURATION, 9, items, 'entry-2', 9)
    samples.feed(world, 5.0, snapshot)
    assert calls(samples.feed(world, 5.0), CONFIGURATION)
    older = inp.ConfigurationRead(samples.configuration(7), 'store at 4')
    page = store.Listed((older,), None, 40, 4)
    samples.feed(world, 9.0, samples.store_done(world, CONFIGURATION, page))
    assert routes.active_configuration(world).version == 9


def test_a_starting_entry_reads_the_store_when_no_seed_answers():
    world, _ = start_with_seeds()
    samples.feed(world, 5.0, inp.SnapshotRequestDone('10.0.0.8:1'))
    assert not calls(samples.feed(world, 6.0), CONFIGURATION)
    samples.feed(world, 7.0, inp.SnapshotRequestDone('10.0.0.9:1'))
    assert calls(samples.feed(world, 7.0), CONFIGURATION)


def test_a_starting_entry_reads_the_store_when_the_seeds_are_silent():
    world, _ = start_with_seeds()
    assert calls(samples.feed(world, 600.0), CONFIGURATION)


def test_a_restore_of_the_store_from_a_copy_is_logged_once():
    world, _ = started()
    page = store.Listed((), None, 40)

    def logged(era):
        answer = samples.store_done(world, UPSTREAMS, page)
        outputs = samples.feed(
            world, 1.0, dataclasses.replace(answer, era=era)
        )
        changes = samples.of_type(outputs, out.LogStateChange)
        return [(x.before, x.after) for x in changes if x.subject == 'era']

    assert logged(3) == []
    assert logged(0) == []
    assert logged(4) == [('3', '4')]
    assert logged(4) == []
    assert world.counters['store.restored'] == 1


def test_a_watch_of_an_earlier_era_is_followed_by_a_list():
    """The revision that it began at was given out again in between."""
    world = watching()
    era_known = samples.store_done(world, UPSTREAMS, store.Changed((), 41))
    samples.feed(world, 900.0, dataclasses.replace(era_known, era=1))
    until_called(world, 900.0)
    changed = samples.store_done(world, UPSTREAMS, store.Changed((), 90))
    samples.feed(world, 5_000.0, dataclasses.replace(changed, era=2))
    call, _ = until_called(world, 5_000.0)
    assert call == store.ListKind(UPSTREAMS, None)


def test_pages_of_different_eras_are_not_joined_to_one_list():
    world, _ = started()

    def page(name, after, era):
        item = inp.UpstreamRegistered(samples.upstream(name))
        listed = store.Listed((item,), after, 40)
        answer = samples.store_done(world, UPSTREAMS, listed)
        return dataclasses.replace(answer, era=era)

    samples.feed(world, 1.0, page('a', 'a', 1))
    until_called(world, 1.0)
    samples.feed(world, 100.0, page('b', None, 2))
    assert not world.upstreams.rows
    call, _ = until_called(world, 100.0)
    assert call == store.ListKind(UPSTREAMS, None)


def unreadable_lines(outputs):
    return [
        (x.subject, x.cause)
        for x in samples.of_type(outputs, out.LogStateChange)
        if x.after == 'unreadable'
    ]


def test_an_unreadable_object_is_logged_once_per_change():
    world, _ = started()
    row = store.Unreadable('u-9', 30, 'nested too deeply')
    page = store.Listed((), None, 40, 30, (row,))
    outputs = samples.feed(
        world, 1.0, samples.store_done(world, UPSTREAMS, page)
    )
    assert unreadable_lines(outputs) == [
        ('upstreams u-9', 'revision 30: nested too deeply')
    ]
    changed = row._replace(revision=41)
    results = (
        (page, []),
        (store.Changed((), 41, 41, (changed,)), ['upstreams u-9']),
        (store.Listed((), None, 42, 41, (changed,)), []),
    )
    now_ms = 1.0
    for result, subjects in results:
        _, now_ms = until_called(world, now_ms)
        store_done = samples.store_done(world, UPSTREAMS, result)
        lines = unreadable_lines(samples.feed(world, now_ms, store_done))
        assert [x[0] for x in lines] == subjects
    assert world.counters['store.unreadable.upstreams'] == 2


def test_the_number_of_remembered_unreadable_objects_is_bounded():
    world, _ = started()
    rows = tuple(store.Unreadable(f'u-{n}', 3, '') for n in range(1_500))
    page = store.Listed((), None, 40, 3, rows)
    samples.feed(world, 1.0, samples.store_done(world, UPSTREAMS, page))
    assert len(world.store.unreadable) == 1_000


def test_an_era_begins_when_the_store_answers_not_when_it_refuses():
    """What a restored store lacks is held from then on."""
    world, _ = started()
    page = store.Listed((), None, 40)
    known = samples.store_done(world, UPSTREAMS, page)
    samples.feed(world, 1.0, dataclasses.replace(known, era=1))
    until_called(world, 1.0)
    refused = samples.store_done(world, UPSTREAMS, store.Refused())
    samples.feed(world, 4_000.0, dataclasses.replace(refused, era=2))
    assert world.counters['store.restored'] == 0
    until_called(world, 4_000.0)
    gone = samples.store_done(world, UPSTREAMS, store.HistoryGone())
    samples.feed(world, 6_000.0, dataclasses.replace(gone, era=2))
    assert world.counters['store.restored'] == 1


def asked(world, known_revision, era=0):
    """Return the revisions of the snapshots that an entry gets."""
    request = store.SnapshotRequest((UPSTREAMS,), (known_revision,), era)
    found = snapshots.snapshots(world, 2_000.0, request)
    return [row.synced_revision for row in found]


def test_a_snapshot_is_sent_only_to_an_entry_that_lacks_changes():
    """Each entry got every registration each 10 s, known or not."""
    world = watching()
    request = snapshots.snapshot_request(world, (UPSTREAMS,))
    assert request == store.SnapshotRequest((UPSTREAMS,), (40,), 0)
    assert asked(world, 40) == []
    assert asked(world, 39) == asked(world, -1) == [40]


def test_an_entry_of_an_earlier_era_gets_a_snapshot():
    """Its revisions say nothing about those after a restore."""
    world = watching()
    health = world.store.health[store.STORE]
    world.store.health[store.STORE] = health._replace(era=3)
    assert asked(world, 40, era=2) == [40]
    assert asked(world, 40, era=3) == []


def test_an_entry_that_knows_nothing_requests_everything():
    world, _ = started()
    request = snapshots.snapshot_request(world, tuple(store.Kind))
    assert set(request.known_revisions) == {-1}
