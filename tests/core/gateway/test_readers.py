"""Test that two entries of a region read the store for the others."""

from core.gateway import samples
from core.gateway import store_network as networks
from zinnialead_core import gateway
from zinnialead_core.gateway.entries import const as entries_const
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import catch_up
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import models as store
from zinnialead_core.gateway.store import readers
from zinnialead_core.gateway.store import snapshots

UPSTREAMS = store.Kind.UPSTREAMS
CONFIGURATION = store.Kind.CONFIGURATION
NAMES = tuple(f'entry-{number}' for number in range(1, 7))
# An entry of another region, without which this one would stand alone.
REMOTE = 'remote-1'


def heartbeat(entry, latest=0, may_read=True, kind=UPSTREAMS):
    revisions = tuple(latest if x is kind else 0 for x in store.Kind)
    return inp.HeartbeatReceived(
        entries.Heartbeat(entry, 1, False, True, revisions, may_read)
    )


def fleet(name, now_ms=10_000.0):
    """Return the world of one of six entries that have read every kind.

    It hears from an entry of another region as well.
    """
    world = gateway.new_world(samples.node(name), seed=1)
    samples.feed(world, 0.0, inp.Started())
    remote_row = samples.entry_row(REMOTE, 'tn-a')
    rows = (*map(samples.entry_row, NAMES), remote_row)
    pages = [
        samples.store_done(world, kind, store.Listed((), None, 40, 40))
        for kind in store.Kind
    ]
    samples.feed(world, 1.0, *pages)
    samples.feed(world, 2.0, inp.EntriesListed(rows))
    others = (x for x in (*NAMES, REMOTE) if x != name)
    samples.feed(world, now_ms, *map(heartbeat, others))
    watch_results = [
        samples.store_done(world, kind, store.Changed((), 41))
        for kind in store.Kind
    ]
    samples.feed(world, now_ms, *watch_results)
    return world


def names_by_rank():
    """Return the entries' names in the order of their rank as readers."""
    return sorted(NAMES, key=lambda name: readers.rank(fleet(name), 10_000.0))


def store_calls(outputs):
    return [x.call for x in samples.of_type(outputs, out.CallStore)]


def run_for(world, now_ms, span_ms, *others, may_read=True):
    """Return the calls to the store while others send heartbeats."""
    calls = []
    for step in range(int(span_ms / 50.0)):
        heartbeats = [heartbeat(x, may_read=may_read) for x in others]
        heartbeats.append(heartbeat(REMOTE))
        calls += store_calls(
            samples.feed(world, now_ms + 50.0 * step, *heartbeats)
        )
    return calls


def test_two_entries_of_a_region_read():
    reader_flags = [readers.is_reader(fleet(name), 10_000.0) for name in NAMES]
    assert reader_flags.count(True) == const.READERS


def test_other_entries_make_no_calls():
    *_, last = names_by_rank()
    world = fleet(last)
    others = [x for x in NAMES if x != last]
    assert run_for(world, 10_000.0, 10_000.0, *others) == []


def test_an_entry_reads_when_the_readers_are_silent():
    first, second, third, *_ = names_by_rank()
    world = fleet(third)
    others = [x for x in NAMES if x not in (first, second, third)]
    calls = run_for(world, 10_000.0, 3_100.0, *others)
    assert {x.kind for x in calls} >= set(store.Kind) - {store.Kind.ENTRIES}


def test_an_entry_reads_if_the_store_answers_no_other():
    *_, last = names_by_rank()
    world = fleet(last)
    others = [x for x in NAMES if x != last]
    assert run_for(world, 10_000.0, 1_000.0, *others, may_read=False)


def test_an_entry_leaves_reading_to_others_after_a_failure():
    """Nine entries made 270 calls in 9 s after one failed call each."""
    first, *others = names_by_rank()
    world = fleet(first)
    failed = samples.store_done(world, UPSTREAMS, store.Failed('reset'))
    samples.feed(world, 10_000.0, failed)
    assert not readers.is_reader(world, 10_001.0)
    assert run_for(world, 10_000.0, 3_500.0, *others) == []


def test_calls_of_one_kind_check_whether_the_store_is_back():
    world = gateway.new_world(samples.node(), seed=1)
    samples.feed(world, 0.0, inp.Started())
    failed = [
        samples.store_done(world, kind, store.Failed('down'))
        for kind in store.Kind
    ]
    samples.feed(world, 1.0, *failed)
    assert {x.kind for x in run_for(world, 1.0, 5_000.0)} == {CONFIGURATION}


def test_a_reader_sends_changes_to_its_region():
    first, *_ = names_by_rank()
    world = fleet(first)
    row = samples.upstream('u-9', revision=55)
    changed = store.Changed((inp.UpstreamRegistered(row),), 56, 55)
    outputs = samples.feed(
        world, 10_001.0, samples.store_done(world, UPSTREAMS, changed)
    )
    (sent,) = samples.of_type(outputs, out.SendChanges)
    assert len(sent.addresses) == len(NAMES) - 1
    assert (sent.changes.base_revision, sent.changes.latest_revision) == (
        40,
        55,
    )


def announced(outputs):
    """Return the revisions by kind that the region is told at once.

    Another region's entry is told the same.
    """
    sent, sent_remotely = samples.of_type(outputs, out.SendHeartbeat)
    assert len(sent.addresses) == len(NAMES) - 1
    assert sent_remotely.addresses == (f'{REMOTE}:2',)
    assert sent_remotely.heartbeat == sent.heartbeat
    return dict(zip(store.Kind, sent.heartbeat.latest_revisions, strict=True))


def test_a_reader_announces_a_configuration_as_soon_as_it_is_in_force():
    first, *_ = names_by_rank()
    world = fleet(first)
    read = inp.ConfigurationRead(samples.configuration(9), 'store at 55')
    changed = samples.store_done(
        world, CONFIGURATION, store.Changed((read,), 56, 55)
    )
    outputs = samples.feed(world, 10_001.0, changed)
    assert announced(outputs)[CONFIGURATION] == 9


def peer_changes(base, latest, *items, removal_delay_ms=0.0):
    return inp.PeerChanges(
        UPSTREAMS, base, latest, items, 'entry-2', removal_delay_ms
    )


def test_received_changes_are_applied_without_a_call():
    *_, last = names_by_rank()
    world = fleet(last)
    row = samples.upstream('u-9', revision=55)
    changes = peer_changes(40, 55, inp.UpstreamRegistered(row))
    outputs = samples.feed(world, 10_001.0, changes)
    assert 'u-9' in world.upstreams.rows
    removal = peer_changes(55, 60, inp.UpstreamDeregistered('u-9'))
    outputs += samples.feed(world, 10_002.0, removal)
    assert 'u-9' not in world.upstreams.rows
    assert not store_calls(outputs)


def test_changes_after_a_gap_are_not_applied_but_requested():
    *others, last = names_by_rank()
    world = fleet(last)
    row = samples.upstream('u-9', revision=55)
    samples.feed(
        world, 10_001.0, peer_changes(50, 55, inp.UpstreamRegistered(row))
    )
    assert 'u-9' not in world.upstreams.rows
    samples.feed(world, 10_100.0, heartbeat(others[0], 55))
    outputs = samples.feed(world, 10_600.0, heartbeat(others[0], 55))
    (requested,) = samples.of_type(outputs, out.RequestSnapshots)
    assert requested.kinds == (UPSTREAMS,)


def test_an_older_change_that_arrives_late_is_ignored():
    *_, last = names_by_rank()
    world = fleet(last)
    samples.feed(
        world, 10_001.0, peer_changes(40, 60, inp.UpstreamDeregistered('u-9'))
    )
    row = samples.upstream('u-9', revision=55)
    samples.feed(
        world, 10_002.0, peer_changes(40, 55, inp.UpstreamRegistered(row))
    )
    assert 'u-9' not in world.upstreams.rows


def test_a_configuration_is_requested_at_the_first_heartbeat():
    *others, last = names_by_rank()
    world = fleet(last)
    outputs = samples.feed(
        world, 10_100.0, heartbeat(others[0], 55, kind=CONFIGURATION)
    )
    (requested,) = samples.of_type(outputs, out.RequestSnapshots)
    assert requested.kinds == (CONFIGURATION,)


def test_changes_that_no_entry_sends_are_read_from_the_store():
    *others, last = names_by_rank()
    world = fleet(last)
    calls = []
    for step in range(25):
        items = [heartbeat(x, 55) for x in others]
        now_ms = 10_000.0 + 100.0 * step
        calls += store_calls(samples.feed(world, now_ms, *items))
    assert calls == [store.ListKind(UPSTREAMS, None)]


def test_a_received_removal_after_an_outage_is_delayed():
    *_, last = names_by_rank()
    world = fleet(last)
    row = samples.upstream('u-9', revision=50)
    samples.feed(
        world, 10_001.0, peer_changes(40, 50, inp.UpstreamRegistered(row))
    )
    removal = peer_changes(
        50, 55, inp.UpstreamDeregistered('u-9'), removal_delay_ms=1_500.0
    )
    samples.feed(world, 10_002.0, removal)
    assert 'u-9' in world.upstreams.rows
    samples.feed(world, 11_600.0)
    assert 'u-9' not in world.upstreams.rows


def test_a_readers_heartbeat_shows_that_the_store_is_available():
    *others, last = names_by_rank()
    world = fleet(last)
    failed = inp.StoreDone('removal', store.Failed('reset'))
    samples.feed(world, 10_001.0, failed)
    assert not store.is_available(world.store)
    samples.feed(world, 10_500.0, *(heartbeat(x) for x in others))
    assert store.is_available(world.store)


def test_a_removal_that_only_a_list_shows_raises_the_revision():
    """A removal while no entry reads has no revision that shows it later."""
    first, *_ = names_by_rank()
    world = fleet(first)
    samples.feed(
        world,
        10_001.0,
        peer_changes(
            40,
            42,
            inp.UpstreamRegistered(samples.upstream('u-9', revision=42)),
        ),
    )
    history_gone = samples.store_done(world, UPSTREAMS, store.HistoryGone())
    samples.feed(world, 10_002.0, history_gone)
    run_for(world, 10_003.0, 300.0)
    page = samples.store_done(world, UPSTREAMS, store.Listed((), None, 70, 0))
    samples.feed(world, 10_400.0, page)
    assert 'u-9' not in world.upstreams.rows
    assert world.store.watches[UPSTREAMS].latest_revision == 70


def test_an_entry_compares_all_its_objects_with_a_reader():
    first, *others, last = names_by_rank()
    world = fleet(last)
    requested = []
    for step in range(120):
        items = [heartbeat(x) for x in (first, *others, REMOTE)]
        now_ms = 10_000.0 + 100.0 * step
        requested += samples.of_type(
            samples.feed(world, now_ms, *items), out.RequestSnapshots
        )
    (request,) = requested
    assert request.address == f'{first}:2'
    assert UPSTREAMS in request.kinds


def test_the_fast_entries_of_a_region_read():
    world = fleet(names_by_rank()[0])
    for name in NAMES[:3]:
        fast = samples.entry_row(name, revision=50)._replace(speed=2.0)
        if name != world.node.ref.entry:
            samples.feed(world, 10_001.0, inp.EntryRegistered(fast))
    assert not readers.is_reader(world, 10_002.0)


def reader_changes(outputs):
    changes = samples.of_type(outputs, out.LogStateChange)
    return [x.after for x in changes if x.subject == 'reader']


def test_an_entry_logs_when_it_begins_and_stops_to_read():
    first, second, third, *others = names_by_rank()
    world = fleet(third)
    outputs = []
    for step in range(120):
        beats = [heartbeat(x) for x in (*others, REMOTE)]
        if not 40 <= step < 80:
            beats += [heartbeat(first), heartbeat(second)]
        if step == 80:
            page = store.Listed((), None, 50)
            beats.append(samples.store_done(world, CONFIGURATION, page))
        outputs += samples.feed(world, 10_000.0 + 100.0 * step, *beats)
    # It was the only entry when it started.
    assert reader_changes(outputs) == ['follows', 'reads', 'follows']
    assert world.counters['store.reader_changes'] == 4


def domain_of(name):
    return 'guj-a' if name < 'entry-4' else 'guj-b'


def fleet_in_two_domains(name):
    """Return the world of one of six entries, three in each domain."""
    world = fleet(name)
    node = samples.node(name, domain_of(name))
    world = world._replace(node=node)
    for other in NAMES:
        row = samples.entry_row(other, domain_of(other), revision=50)
        samples.feed(world, 10_000.0, inp.EntryRegistered(row))
    return world


def test_the_loss_of_a_domain_leaves_a_reader():
    """Both readers stood in one domain, and its loss blinded the region."""
    readers_found = [
        name
        for name in NAMES
        if readers.is_reader(fleet_in_two_domains(name), 10_000.0)
    ]
    domains = [domain_of(name) for name in readers_found]
    assert sorted(domains) == ['guj-a', 'guj-b']


def test_the_other_domain_follows_a_change_while_a_domain_is_lost():
    """Entries acted on an old version for 3.3 s, 2.5 s after it at most."""
    for lost in networks.DOMAINS[:2]:
        network = networks.new_network(seed=1, entries=12)
        networks.run_until(network, 15_000.0)
        for name in list(network.worlds):
            if network.worlds[name].node.domain == lost:
                networks.kill(network, name)
        networks.put_configuration(network, 2)
        networks.register(network, 'u-0', leaving=True)
        networks.run_until(network, 16_250.0)
        for name, world in network.worlds.items():
            assert networks.version(world) == 2, name
            assert world.upstreams.rows['u-0'].leaving, name


def test_a_reader_announces_changes_that_only_its_list_shows():
    """After a broken watch, the others waited for the next heartbeat."""
    first, *_ = names_by_rank()
    world = fleet(first)
    gone = samples.store_done(world, UPSTREAMS, store.HistoryGone())
    samples.feed(world, 10_001.0, gone)
    run_for(world, 10_002.0, 200.0)
    new = inp.UpstreamRegistered(samples.upstream('u-9', revision=55))
    page = samples.store_done(
        world, UPSTREAMS, store.Listed((new,), None, 60, 55)
    )
    outputs = samples.feed(world, 10_210.0, page)
    assert announced(outputs)[UPSTREAMS] == 55


def test_a_reader_announces_a_configuration_that_its_list_shows():
    """Entries followed a reader that took over up to 1 s after its list."""
    first, *_ = names_by_rank()
    world = fleet(first)
    gone = samples.store_done(world, CONFIGURATION, store.HistoryGone())
    samples.feed(world, 10_001.0, gone)
    run_for(world, 10_002.0, 200.0)
    read = inp.ConfigurationRead(samples.configuration(9), 'store at 55')
    page = samples.store_done(
        world, CONFIGURATION, store.Listed((read,), None, 56, 55)
    )
    outputs = samples.feed(world, 10_210.0, page)
    assert announced(outputs)[CONFIGURATION] == 9


def test_an_entry_logs_which_entries_read_for_its_region():
    *others, last = names_by_rank()
    first, second, third, *_ = others
    world = fleet(last)
    outputs = []
    for step in range(40):
        beats = [heartbeat(x) for x in (*others, REMOTE) if x != first]
        outputs += samples.feed(world, 10_000.0 + 100.0 * step, *beats)
    changes = samples.of_type(outputs, out.LogStateChange)
    logged = [x.after for x in changes if x.subject == 'readers']
    assert logged == [f'{first}, {second}', f'{second}, {third}']


def test_an_entry_logs_from_whom_it_requests_a_version_and_who_told_of_it():
    *others, last = names_by_rank()
    world = fleet(last)
    told = heartbeat(others[0], 55, kind=CONFIGURATION)
    outputs = samples.feed(world, 10_100.0, told)
    changes = samples.of_type(outputs, out.LogStateChange)
    (logged,) = [x for x in changes if x.subject == CONFIGURATION]
    assert logged.after == f'requested from {others[0]}'
    assert logged.cause == 'told of 55 0 ms ago'
    assert catch_up.behind_ms(world, 10_300.0, CONFIGURATION) == 200.0


def test_a_region_that_hears_from_no_other_has_four_readers():
    """The loss of two readers left a single region without any for 3 s."""
    later_ms = 10_000.0 + entries_const.REMOTE_SILENCE_MAX_MS + 100.0
    flags = []
    for name in NAMES:
        world = fleet(name)
        others = [x for x in NAMES if x != name]
        samples.feed(world, later_ms, *map(heartbeat, others))
        flags.append(readers.is_reader(world, later_ms))
    assert flags.count(True) == const.READERS_ALONE


def test_a_reader_that_the_store_refuses_tells_its_region_at_once():
    """The others waited for its next heartbeat before one took over."""
    first, *_ = names_by_rank()
    world = fleet(first)
    failed = samples.store_done(world, UPSTREAMS, store.Failed('reset'))
    (sent,) = samples.of_type(
        samples.feed(world, 10_001.0, failed), out.SendHeartbeat
    )
    assert len(sent.addresses) == len(NAMES) - 1
    assert not sent.heartbeat.may_read


def test_an_entry_reads_as_soon_as_it_is_told_that_a_reader_can_not():
    first, second, third, *others = names_by_rank()
    world = fleet(third)
    run_for(world, 10_000.0, 600.0, first, second, *others)
    refused = heartbeat(first, may_read=False)
    samples.feed(world, 10_601.0, refused)
    assert store_calls(samples.feed(world, 10_602.0))


def test_an_entry_asks_another_region_if_its_own_readers_tell_nothing():
    *_, last = names_by_rank()
    world = fleet(last)
    early = samples.feed(world, 10_100.0, heartbeat(REMOTE, 55))
    early += samples.feed(world, 10_250.0)
    assert not samples.of_type(early, out.RequestSnapshots)
    outputs = samples.feed(world, 10_100.0 + const.BEHIND_REMOTE_MS)
    (request,) = samples.of_type(outputs, out.RequestSnapshots)
    assert request.address == f'{REMOTE}:2'


def test_an_entry_asks_again_without_a_further_heartbeat():
    """What a failed exchange held up waited for a heartbeat, up to 2 s."""
    *others, last = names_by_rank()
    world = fleet(last)
    samples.feed(world, 10_100.0, heartbeat(others[0], 55, kind=CONFIGURATION))
    requests = []
    for step in range(10):
        outputs = samples.feed(world, 10_150.0 + 50.0 * step)
        requests += samples.of_type(outputs, out.RequestSnapshots)
    (request,) = requests
    assert request.kinds == (CONFIGURATION,)


def test_an_entry_tells_its_region_what_it_got_from_another_one():
    *_, last = names_by_rank()
    world = fleet(last)
    row = samples.upstream('u-9', revision=55)
    items = (inp.UpstreamRegistered(row),)
    snapshot = inp.PeerSnapshot(UPSTREAMS, 55, items, REMOTE, 55)
    (sent,) = samples.of_type(
        samples.feed(world, 10_100.0, snapshot), out.SendHeartbeat
    )
    assert len(sent.addresses) == len(NAMES) - 1
    assert 55 in sent.heartbeat.latest_revisions
    read = inp.ConfigurationRead(samples.configuration(9), REMOTE)
    snapshot = inp.PeerSnapshot(CONFIGURATION, 9, (read,), REMOTE, 9)
    (sent,) = samples.of_type(
        samples.feed(world, 10_200.0, snapshot), out.SendHeartbeat
    )
    assert len(sent.addresses) == len(NAMES) - 1
    assert 9 in sent.heartbeat.latest_revisions


def test_a_reader_that_the_store_refuses_delays_no_removal_of_others():
    """A configuration from it made others keep what was removed for 2.3 s."""
    first, *_, last = names_by_rank()
    refused, world = fleet(first), fleet(last)
    failed = samples.store_done(refused, UPSTREAMS, store.Failed('reset'))
    samples.feed(refused, 10_001.0, failed)
    read = inp.ConfigurationRead(samples.configuration(9), 'store at 55')
    samples.feed(refused, 10_002.0, read)
    received = snapshots.snapshot(refused, 10_003.0, CONFIGURATION)
    row = samples.upstream('u-9', revision=50)
    samples.feed(
        world, 10_004.0, peer_changes(40, 50, inp.UpstreamRegistered(row))
    )
    samples.feed(world, 10_005.0, received)
    removal = peer_changes(50, 55, inp.UpstreamDeregistered('u-9'))
    samples.feed(world, 10_006.0, removal)
    assert networks.version(world) == 9
    assert 'u-9' not in world.upstreams.rows
