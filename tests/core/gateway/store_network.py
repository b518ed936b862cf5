"""Simulate entries, a store that may be restored and who writes to it."""

import dataclasses
import heapq
import itertools
import random
import typing

from core.gateway import samples
from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import models as store
from zinnialead_core.gateway.store import snapshots
from zinnialead_core import ids

LATENCY_MS = 4.0
# An entry processes what arrives within this time in one tick.
BATCH_MS = 100.0
ASK_TIMEOUT_MS = 800.0
CALL_TIMEOUT_MS = 2_000.0
COPY_PERIOD_MS = 250.0
HEARTBEAT_MS = 1_500.0
TTL_MS = 4_500.0
REWRITE_MS = 2_000.0
DOMAINS = tuple(samples.REGIONS)


class Event(typing.NamedTuple):
    """Hold a change of an object, as a watch reports it."""

    revision: int
    kind: store.Kind
    change: object


class Copy(typing.NamedTuple):
    """Hold what a restore brings back."""

    at_ms: float
    objects: dict
    events: tuple
    revision: int


@dataclasses.dataclass
class Store:
    """Hold the objects by kind and name, each as its revision and input."""

    objects: dict = dataclasses.field(
        default_factory=lambda: {kind: {} for kind in store.Kind}
    )
    events: list = dataclasses.field(default_factory=list)
    revision: int = 1
    era: int = 1
    page_size: int = 500
    is_up: bool = True
    is_silent: bool = False
    copies: list = dataclasses.field(default_factory=list)
    watches: list = dataclasses.field(default_factory=list)
    renewed_ms: dict = dataclasses.field(default_factory=dict)
    calls: list = dataclasses.field(default_factory=list)


class Watch(typing.NamedTuple):
    """Hold a waiting watch and how to answer it."""

    entry: str
    incarnation: int
    output: out.CallStore
    opened_ms: float


@dataclasses.dataclass
class Network:
    """Hold the worlds, the store, the writers and what is on its way."""

    random: random.Random
    store: Store
    now_ms: float = 1_000.0
    worlds: dict = dataclasses.field(default_factory=dict)
    heap: list = dataclasses.field(default_factory=list)
    sequences: object = dataclasses.field(default_factory=itertools.count)
    due_ms: dict = dataclasses.field(default_factory=dict)
    frozen: dict = dataclasses.field(default_factory=dict)
    inboxes: dict = dataclasses.field(default_factory=dict)
    cut_from_store: set = dataclasses.field(default_factory=set)
    cut_from_peers: set = dataclasses.field(default_factory=set)
    silent_to_store: set = dataclasses.field(default_factory=set)
    lag_ms: dict = dataclasses.field(default_factory=dict)
    cut_upstreams: set = dataclasses.field(default_factory=set)
    drop_share: float = 0.0
    delay_max_ms: float = 20.0
    upstreams: dict = dataclasses.field(default_factory=dict)
    drains: set = dataclasses.field(default_factory=set)
    version: int = 1
    versions: dict = dataclasses.field(default_factory=dict)
    log: list = dataclasses.field(default_factory=list)


def new_network(seed, entries=6, page_size=500):
    """Return a network of started entries and a store with three kinds."""
    network = Network(random.Random(seed), Store(page_size=page_size))
    put_configuration(network, 1)
    for number in range(6):
        register(network, f'u-{number}')
    for number in range(entries):
        start(network, f'entry-{number}')
    schedule(network, COPY_PERIOD_MS, _keep_copy)
    schedule(network, HEARTBEAT_MS, _renew_upstreams)
    return network


def schedule(network, delay_ms, function, *arguments):
    """Call a function with the network after a delay."""
    due = (network.now_ms + delay_ms, next(network.sequences))
    heapq.heappush(network.heap, (*due, function, arguments))


def run_until(network, until_ms):
    """Let time pass: events, and the entries' timers, in order."""
    while True:
        entry = min(network.due_ms, key=network.due_ms.get, default=None)
        timer_ms = network.due_ms.get(entry, float('inf'))
        event_ms = network.heap[0][0] if network.heap else float('inf')
        if min(timer_ms, event_ms) > until_ms:
            break
        if event_ms <= timer_ms:
            network.now_ms, _, function, arguments = heapq.heappop(
                network.heap
            )
            function(network, *arguments)
        else:
            network.now_ms = max(network.now_ms, timer_ms)
            feed(network, entry)
    network.now_ms = until_ms


def feed(network, entry, *inputs):
    """Run a tick of an entry; a frozen one gets its inputs later."""
    if entry in network.frozen:
        network.frozen[entry].extend(inputs)
        network.due_ms.pop(entry, None)
        return
    world = network.worlds.get(entry)
    if world is None:
        return
    outputs = list(gateway.tick(world, network.now_ms, inputs))
    due_ms = gateway.next_due_ms(world)
    network.due_ms[entry] = float('inf') if due_ms is None else due_ms
    _check_version(network, entry, world)
    for output in outputs:
        _carry_out(network, entry, world.node.ref.incarnation, output)


def version(world):
    """Return the version that an entry has in force, 0 without one."""
    active = world.routes.active.get('in-force')
    return active.version if active else 0


def _check_version(network, entry, world):
    known = network.versions.get(entry, 0)
    assert version(world) >= known, f'{entry} went back from {known}'
    network.versions[entry] = version(world)


def _carry_out(network, entry, incarnation, output):
    match output:
        case out.SendHeartbeat(addresses, heartbeat):
            for address in addresses:
                _send(
                    network, entry, address, inp.HeartbeatReceived(heartbeat)
                )
        case out.SendChanges(addresses, changes):
            for address in addresses:
                _send(network, entry, address, changes)
        case out.RequestSnapshots(address, kinds):
            delay_ms = _delay_ms(network)
            request = snapshots.snapshot_request(network.worlds[entry], kinds)
            schedule(
                network, delay_ms, _ask, entry, incarnation, address, request
            )
        case out.CallStore():
            watch = Watch(entry, incarnation, output, network.now_ms)
            schedule(network, _delay_ms(network), _call, watch)
        case out.LogStateChange():
            network.log.append((network.now_ms, entry, output))


def _delay_ms(network):
    return LATENCY_MS + network.random.uniform(0.0, network.delay_max_ms)


def _can_reach(network, entry, other):
    return not network.cut_from_peers & {entry, other}


def _send(network, entry, address, message):
    target = address.partition(':')[0]
    if not _can_reach(network, entry, target):
        return
    if network.random.random() < network.drop_share:
        return
    schedule(network, _delay_ms(network), _receive, target, message)


def _receive(network, target, message):
    inbox = network.inboxes.setdefault(target, [])
    inbox.append(message)
    if len(inbox) == 1:
        delay_ms = BATCH_MS + network.lag_ms.get(target, 0.0)
        schedule(network, delay_ms, _process_inbox, target)


def _process_inbox(network, target):
    feed(network, target, *network.inboxes.pop(target))


def _ask(network, entry, incarnation, address, request):
    target = address.partition(':')[0]
    reached = (
        target in network.worlds
        and target not in network.frozen
        and _can_reach(network, entry, target)
    )
    found = []
    if reached:
        found = list(
            snapshots.snapshots(
                network.worlds[target], network.now_ms, request
            )
        )
    delay_ms = _delay_ms(network) if reached else ASK_TIMEOUT_MS
    done = inp.SnapshotRequestDone(address)
    schedule(network, delay_ms, _deliver, entry, incarnation, *found, done)


def _deliver(network, entry, incarnation, *inputs):
    world = network.worlds.get(entry)
    if world is not None and world.node.ref.incarnation == incarnation:
        feed(network, entry, *inputs)


def _reply(network, watch, result, era, delay_ms=None):
    output = watch.output
    if watch.entry in network.silent_to_store:
        result, era, delay_ms = (
            store.Failed('silent'),
            0,
            _left_ms(network, watch),
        )
    done = inp.StoreDone(output.kind, result, output.call_number, era)
    delay_ms = _delay_ms(network) if delay_ms is None else delay_ms
    delay_ms += network.lag_ms.get(watch.entry, 0.0)
    schedule(network, delay_ms, _deliver, watch.entry, watch.incarnation, done)


def _left_ms(network, watch):
    """Return how long the entry still waits for the result of a call."""
    match watch.output.call:
        case store.WatchKind(_, _, wait_ms):
            timeout_ms = CALL_TIMEOUT_MS + wait_ms
        case _:
            timeout_ms = CALL_TIMEOUT_MS
    return max(0.0, watch.opened_ms + timeout_ms - network.now_ms)


def _call(network, watch):
    one = network.store
    one.calls.append((network.now_ms, watch.entry, watch.output.call))
    if watch.entry in network.cut_from_store or not one.is_up:
        delay_ms = CALL_TIMEOUT_MS if one.is_silent else None
        _reply(network, watch, store.Failed('away'), 0, delay_ms)
        return
    match watch.output.call:
        case store.ListKind(kind, after):
            _reply(network, watch, _page(one, kind, after), one.era)
        case store.WatchKind(_, revision, wait_ms):
            if revision > one.revision:
                _reply(network, watch, store.HistoryGone(), one.era)
                return
            one.watches.append(watch)
            schedule(network, wait_ms, _end_watch, watch)
            _answer_watches(network)
        case store.RegisterEntry(row):
            _reply(network, watch, _register(network, row), one.era)
        case store.RemoveEntry(row):
            found = one.objects[store.Kind.ENTRIES].get(row.entry)
            result = store.Written()
            if found is not None and found[0] != row.revision:
                result = store.Conflict()
            elif found is not None:
                remove(network, store.Kind.ENTRIES, row.entry)
            _reply(network, watch, result, one.era)


def _page(one, kind, after):
    names = sorted(x for x in one.objects[kind] if x > (after or ''))
    page = [one.objects[kind][x] for x in names[: one.page_size]]
    has_more = len(names) > one.page_size
    return store.Listed(
        tuple(x for _, x in page),
        names[one.page_size - 1] if has_more else None,
        one.revision,
        max((revision for revision, _ in page), default=0),
    )


def _register(network, row):
    found = network.store.objects[store.Kind.ENTRIES].get(row.entry)
    if found is None and row.revision:
        return store.Failed('status 404')
    if found is not None and found[0] != row.revision:
        return store.Conflict(found[1].row)
    put(network, store.Kind.ENTRIES, row.entry, row)
    return store.Written()


def _end_watch(network, watch):
    if watch in network.store.watches:
        network.store.watches.remove(watch)
        changed = store.Changed((), network.store.revision)
        _reply(network, watch, changed, network.store.era)


def _answer_watches(network):
    one = network.store
    for watch in list(one.watches):
        call = watch.output.call
        events = [
            x
            for x in one.events
            if x.revision > call.revision and x.kind is call.kind
        ]
        if events:
            one.watches.remove(watch)
            changed = store.Changed(
                tuple(x.change for x in events),
                one.revision,
                events[-1].revision,
            )
            _reply(network, watch, changed, one.era)


def put(network, kind, name, value):
    """Write an object."""
    one = network.store
    one.revision += 1
    match kind:
        case store.Kind.UPSTREAMS:
            change = inp.UpstreamRegistered(
                value._replace(revision=one.revision)
            )
        case store.Kind.ENTRIES:
            change = inp.EntryRegistered(value._replace(revision=one.revision))
        case store.Kind.DRAINS:
            change = inp.DrainAdded(value)
        case store.Kind.CONFIGURATION:
            change = inp.ConfigurationRead(value, f'store at {one.revision}')
    one.objects[kind][name] = (one.revision, change)
    one.events.append(Event(one.revision, kind, change))
    _answer_watches(network)


def remove(network, kind, name):
    """Remove an object, if it is there."""
    one = network.store
    if one.objects[kind].pop(name, None) is None:
        return
    one.revision += 1
    removals = {
        store.Kind.UPSTREAMS: inp.UpstreamDeregistered,
        store.Kind.ENTRIES: inp.EntryDeregistered,
        store.Kind.DRAINS: inp.DrainRemoved,
    }
    one.events.append(Event(one.revision, kind, removals[kind](name)))
    _answer_watches(network)


def _keep_copy(network):
    one = network.store
    if one.is_up:
        objects = {kind: dict(x) for kind, x in one.objects.items()}
        copy = Copy(network.now_ms, objects, tuple(one.events), one.revision)
        one.copies.append(copy)
        del one.copies[:-80]
    schedule(network, COPY_PERIOD_MS, _keep_copy)


def cut_off(network, name):
    """Cut an entry off from the store and from all other entries."""
    network.cut_from_peers.add(name)
    refuse(network, name)


def refuse(network, name):
    """Let the store break the watches of an entry and refuse its calls."""
    network.cut_from_store.add(name)
    for watch in [x for x in network.store.watches if x.entry == name]:
        network.store.watches.remove(watch)
        _reply(network, watch, store.Failed('cut'), 0)


def silence_store(network, name):
    """Let nothing more arrive on an entry's connections to the store."""
    network.silent_to_store.add(name)


def delay_inputs(network, name, lag_ms=2_000.0):
    """Let an entry process what arrives only after a time."""
    network.lag_ms[name] = lag_ms


def go_away(network, *, silent=False):
    """Let the store answer nothing, or fail every call."""
    network.store.is_up = False
    network.store.is_silent = silent
    _cut_watches(network)


def _cut_watches(network):
    one = network.store
    for watch in one.watches:
        delay_ms = CALL_TIMEOUT_MS if one.is_silent else None
        _reply(network, watch, store.Failed('cut'), 0, delay_ms)
    one.watches.clear()


def come_back(network, older_ms=None):
    """Let the store answer again, from a copy if ``older_ms`` is set."""
    one = network.store
    _cut_watches(network)
    if older_ms is not None:
        at_ms = network.now_ms - older_ms
        copy = min(one.copies, key=lambda x: abs(x.at_ms - at_ms))
        one.objects = {kind: dict(x) for kind, x in copy.objects.items()}
        one.events = list(copy.events)
        one.revision = copy.revision
        one.era += 1
        one.copies = [x for x in one.copies if x.at_ms <= copy.at_ms]
        schedule(network, network.random.uniform(0.0, 1_200.0), rewrite)
    one.is_up, one.is_silent = True, False
    for name in one.objects[store.Kind.UPSTREAMS]:
        one.renewed_ms[name] = network.now_ms
    for name in network.upstreams:
        delay_ms = network.random.uniform(0.0, REWRITE_MS)
        schedule(network, delay_ms, _renew, name)


def rewrite(network):
    """Write what the operator wrote and the store lacks."""
    one = network.store
    if not one.is_up:
        return
    found = one.objects[store.Kind.CONFIGURATION].get('main')
    if found is None or found[1].configuration.version < network.version:
        put_configuration(network, network.version)
    listed = set(one.objects[store.Kind.DRAINS])
    for domain in network.drains - listed:
        put(network, store.Kind.DRAINS, domain, domain)
    for domain in listed - network.drains:
        remove(network, store.Kind.DRAINS, domain)


def put_configuration(network, number):
    """Write a version of the configuration."""
    network.version = number
    value = samples.configuration(number)
    put(network, store.Kind.CONFIGURATION, 'main', value)


def register(network, name, **fields):
    """Start an upstream, or change its registration."""
    known = network.upstreams.get(name)
    domain = DOMAINS[sum(map(ord, name)) % len(DOMAINS)]
    row = known or samples.upstream(name, domain, born_ms=int(network.now_ms))
    network.upstreams[name] = row._replace(**fields)
    _renew(network, name)


def _renew(network, name):
    """Write the registration of a running upstream, if it differs."""
    row = network.upstreams.get(name)
    if row is None or not network.store.is_up:
        return
    if name in network.cut_upstreams:
        return
    network.store.renewed_ms[name] = network.now_ms
    found = network.store.objects[store.Kind.UPSTREAMS].get(name)
    if found is None or found[1].row._replace(revision=0) != row._replace(
        revision=0
    ):
        put(network, store.Kind.UPSTREAMS, name, row)


def _renew_upstreams(network):
    """Let running upstreams renew their registrations; others expire."""
    if network.store.is_up:
        for name in list(network.upstreams):
            _renew(network, name)
        oldest_ms = network.now_ms - TTL_MS
        for name in list(network.store.objects[store.Kind.UPSTREAMS]):
            if network.store.renewed_ms.get(name, 0.0) < oldest_ms:
                remove(network, store.Kind.UPSTREAMS, name)
    schedule(network, HEARTBEAT_MS, _renew_upstreams)


def leave(network, name):
    """End an upstream that removes its registration."""
    del network.upstreams[name]
    if network.store.is_up and name not in network.cut_upstreams:
        remove(network, store.Kind.UPSTREAMS, name)


def start(network, name):
    """Start an entry, or start it again."""
    number = int(name.partition('-')[2])
    node = samples.node(name, DOMAINS[number % len(DOMAINS)])
    seeds = tuple(f'entry-{x}:2' for x in (0, 1) if x != number)
    node = node._replace(
        ref=ids.EntryRef(name, int(network.now_ms)),
        peer_address=f'{name}:2',
        seeds=seeds,
        registration_ttl_ms=TTL_MS,
    )
    seed = network.random.randrange(10**6)
    network.worlds[name] = gateway.new_world(node, seed)
    network.versions[name] = 0
    feed(network, name, inp.Started())


def kill(network, name):
    """End an entry at once."""
    network.worlds.pop(name, None)
    network.due_ms.pop(name, None)
    network.frozen.pop(name, None)


def freeze(network, name):
    """Pause an entry."""
    if name in network.worlds:
        network.frozen.setdefault(name, [])
        network.due_ms.pop(name, None)


def thaw(network, name):
    """Let a paused entry run on with what has arrived."""
    if name in network.frozen:
        feed(network, name, *network.frozen.pop(name))


def differences(network, *, may_doubt=False):
    """Return how the entries' tables differ from the store's objects.

    With ``may_doubt`` it passes over upstreams that an entry still doubts.
    """
    one = network.store
    drained = set(one.objects[store.Kind.DRAINS])
    found = []
    for name, world in network.worlds.items():
        doubted = world.upstreams.doubtful if may_doubt else ()
        listed = {
            upstream: x.row._replace(revision=0)
            for upstream, (_, x) in one.objects[store.Kind.UPSTREAMS].items()
            if upstream not in doubted
        }
        rows = {
            x: row._replace(revision=0)
            for x, row in world.upstreams.rows.items()
            if x not in doubted
        }
        if rows != listed:
            changed = {
                x for x in rows.keys() & listed.keys() if rows[x] != listed[x]
            }
            found.append(
                f'{name}: upstreams extra {sorted(rows.keys() - listed)}, '
                f'missing {sorted(listed.keys() - rows)}, '
                f'other {sorted(changed)}'
            )
        if world.upstreams.drained != drained:
            found.append(
                f'{name}: drains {world.upstreams.drained} not {drained}'
            )
        if version(world) != network.version:
            found.append(
                f'{name}: version {version(world)} not {network.version}'
            )
        registered = one.objects[store.Kind.ENTRIES].get(name)
        incarnation = world.node.ref.incarnation
        if registered is None or registered[1].row.incarnation != incarnation:
            found.append(f'{name}: registered as {registered}')
    return found
