"""Start the real programs, and let faults strike them."""

import dataclasses
import json
import os
import pathlib
import random
import signal
import subprocess
import sys

import trio

from adapter import deployments
from adapter import fakes
from soak import const
from soak import models
from soak import proxy as proxies
from soak import upstreams
from zinnialead_standins import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / 'platform' / 'entry.py'
CLOCK = pathlib.Path(__file__).with_name('clock')
TICK_MS = 20.0
# An entry's ports, and the place of the one that other entries ask.
PORTS = 6
CONTROL_PORT = 2
# The interpreter's own start takes some 30 ms of an idle core.
INTERPRETER_MS = 400.0
# Routes of the first version, and whether work on them runs once.
FIRST = {'/look/': 'desk', '/book/': 'ledger', '/move/': 'desk'}
CONDITIONS = {
    'down': stores.Down(),
    'busy': stores.Busy(),
    'silent': stores.Silent(),
    'lost': stores.LosesAnswers(),
    'deaf': stores.WithholdsEvents(),
}
ONCE = frozenset(('/book/',))


@dataclasses.dataclass
class Member:
    """Hold one entry's process and the proxies before and behind it."""

    name: str
    settings: pathlib.Path
    front_address: str
    directory: str
    front: proxies.Proxy
    store: proxies.Proxy
    process: subprocess.Popen | None = None
    # What ended it: '' while it should run.
    ending: str = ''
    started_ms: float = float('-inf')


@dataclasses.dataclass
class Soak:
    """Hold one run."""

    folder: pathlib.Path
    random: random.Random
    tables: models.Tables
    store: stores.Store
    members: dict
    places: list
    began_s: float
    once: frozenset = ONCE
    is_over: bool = False
    made: int = 0

    def now_ms(self):
        """Return the time since the run began, in ms."""
        return (trio.current_time() - self.began_s) * const.MS_PER_S


async def set_up(nursery, folder, seed):
    """Start the store, upstreams and entries of a run."""
    store = stores.new_store()
    soak = Soak(
        folder,
        random.Random(seed),
        models.new_tables(),
        store,
        {},
        [],
        trio.current_time(),
    )
    configure(soak, dict(FIRST))
    domains = list(const.DOMAINS)
    for service, count in const.SERVICES.items():
        for number in range(count):
            await _add_place(nursery, soak, service, domains[number % 3])
    address = await fakes.serve_store(nursery, store)
    ports = deployments.free_ports(PORTS * len(const.ENTRIES))
    for number, name in enumerate(const.ENTRIES):
        await _add_member(nursery, soak, name, address, ports, number)
    return soak


async def _add_place(nursery, soak, service, domain):
    upstream = _new_upstream(soak, service, domain)
    target = await upstreams.serve(nursery, soak, upstream)
    proxy = await proxies.start(nursery, target)
    soak.places.append(upstreams.Place(proxy, upstream))
    _register(soak, soak.places[-1])


def _new_upstream(soak, service, domain):
    soak.made += 1
    return upstreams.Upstream(f'i-{soak.made}', service, domain)


def _register(soak, place, state='ready'):
    upstream = place.upstream
    spec = deployments.registration(
        place.proxy.address,
        service=upstream.service,
        zone=upstream.domain,
        state=state,
    )
    stores.put(soak.store, 'servers', upstream.instance, spec)


async def _add_member(nursery, soak, name, store_address, ports, number):
    own = ports[PORTS * number : PORTS * (number + 1)]
    front, _, _, directory, _, _ = own
    store = await proxies.start(nursery, store_address)
    proxy = await proxies.start(nursery, f'127.0.0.1:{front}')
    controls = ports[CONTROL_PORT::PORTS]
    text = deployments.settings_text(
        store.address,
        name,
        ', '.join(f'"127.0.0.1:{x}"' for x in controls),
        own,
        list(const.DOMAINS)[number % len(const.DOMAINS)],
        const.DOMAINS,
        const.GRACE_MS,
    )
    path = soak.folder / f'{name}.toml'
    path.write_text(text)
    member = Member(
        name,
        path,
        f'127.0.0.1:{front}',
        f'127.0.0.1:{directory}',
        proxy,
        store,
    )
    soak.members[name] = member
    start(soak, member)


def start(soak, member, clock_ms=0):
    """Start an entry's program."""
    environment = {
        **os.environ,
        'ZINNIALEAD_BOOT': str(member.settings),
        'SOAK_CLOCK_OFFSET_MS': str(clock_ms),
        'PYTHONPATH': os.pathsep.join([str(CLOCK), *sys.path]),
    }
    log = soak.folder / f'{member.name}.log'
    with log.open('ab') as file:
        member.process = subprocess.Popen(
            [sys.executable, str(PROGRAM)],
            env=environment,
            stdout=file,
            stderr=file,
        )
    member.ending = ''
    member.started_ms = soak.now_ms()


def configure(soak, services):
    """Put the next version of the configuration in force."""
    version = len(soak.tables.versions) + 1
    spec = deployments.configuration(version)
    spec['routes'] = {
        f'r-{prefix.strip("/")}': deployments.route(
            'non_idempotent' if prefix in ONCE else 'idempotent',
            path_prefix=prefix,
            service=service,
            timeout=f'{const.ROUTE_TIMEOUT_MS:.0f}ms',
            max_attempts=const.ATTEMPTS_MAX,
        )
        for prefix, service in services.items()
    }
    spec['services'] = dict.fromkeys(
        const.SERVICES, {'max_conns': 100, 'warmup': '1s', 'cold_per_s': 9.0}
    )
    stores.put(soak.store, 'config', 'main', spec)
    row = models.VersionRow(version, soak.now_ms(), services)
    soak.tables.versions.append(row)


async def strike(nursery, soak, fault):
    """Let a fault strike, and note when it did and whom it concerned."""
    begin_ms = soak.now_ms()
    entries, is_planned = _concerned(fault)
    places = [
        (len(soak.tables.spans) + n, entry) for n, entry in enumerate(entries)
    ]
    kind = type(fault).__name__
    for _, entry in places:
        span = models.SpanRow(kind, entry, is_planned, begin_ms, 1e12)
        soak.tables.spans.append(span)
    try:
        await _strike(nursery, soak, fault)
    finally:
        for place, _ in places:
            span = soak.tables.spans[place]
            ended = span._replace(end_ms=soak.now_ms())
            soak.tables.spans[place] = ended


def _concerned(fault):
    """Return the entries that a fault concerns, and whether it is planned."""
    match fault:
        case models.Kill(entries) | models.StoreLink(entries):
            return entries, False
        case models.Stop(entry) | models.Reload(entry):
            return (entry,), True
        case models.Pause(entry) | models.FrontLink(entry):
            return (entry,), False
        case models.Drain() | models.Evacuate() | models.Configure():
            return (None,), True
        case _:
            return (None,), False


async def _strike(nursery, soak, fault):
    match fault:
        case models.Kill(entries, down_ms, clock_ms):
            for entry in entries:
                _signal(soak, entry, signal.SIGKILL)
            await _sleep(down_ms)
            for entry in entries:
                await _return(soak, entry, clock_ms)
        case models.Stop(entry, down_ms):
            _signal(soak, entry, signal.SIGTERM)
            await _gone(soak, entry)
            await _sleep(down_ms)
            await _return(soak, entry)
        case models.Pause(entry, for_ms):
            _signal(soak, entry, signal.SIGSTOP)
            await _sleep(for_ms)
            _signal(soak, entry, signal.SIGCONT)
        case models.Reload(entry):
            await _until_running(soak, entry)
            _signal(soak, entry, signal.SIGHUP)
        case _:
            await _strike_around(nursery, soak, fault)


async def _strike_around(nursery, soak, fault):
    """Let a fault strike the store, links or upstreams."""
    match fault:
        case models.StoreFault('compacted', _):
            stores.forget_before(soak.store, soak.store.revision)
        case models.StoreFault(trouble, for_ms):
            stores.set_condition(soak.store, CONDITIONS[trouble])
            await _sleep(for_ms)
            stores.set_condition(soak.store, stores.Up())
        case models.StoreLink(entries, condition, for_ms):
            links = [soak.members[entry].store for entry in entries]
            await _harm(links, condition, for_ms)
        case models.FrontLink(entry, condition, for_ms):
            await _harm([soak.members[entry].front], condition, for_ms)
        case models.UpstreamLink(place, condition, for_ms):
            await _harm([soak.places[place].proxy], condition, for_ms)
        case models.Replace(place, missing_ms):
            await _replace(nursery, soak, soak.places[place], missing_ms)
        case models.Drain(place):
            await _drain(nursery, soak, soak.places[place])
        case models.Evacuate(domain, for_ms):
            await _evacuate(soak, domain, for_ms)
        case models.Configure(is_new):
            _change(soak, is_new)


async def _sleep(for_ms):
    await trio.sleep(for_ms / const.MS_PER_S)


async def _until_running(soak, entry):
    """Wait until an interpreter that was just started runs the program.

    Before that no program can take a signal in.
    """
    member = soak.members[entry]
    while soak.now_ms() - member.started_ms < INTERPRETER_MS:
        await _sleep(TICK_MS)


def _signal(soak, entry, number):
    """Send a signal to a process that the soak started and that runs."""
    member = soak.members[entry]
    if member.process.poll() is not None:
        return
    if number in (signal.SIGKILL, signal.SIGTERM):
        member.ending = member.ending or number.name
        if number == signal.SIGKILL:
            member.ending = number.name
            down = models.DownRow(entry, soak.now_ms(), float('inf'))
            soak.tables.down.append(down)
    member.process.send_signal(number)


async def _gone(soak, entry):
    """Wait for the end of a process that was told to stop."""
    process = soak.members[entry].process
    begin_ms = soak.now_ms()
    while process.poll() is None:
        await _sleep(TICK_MS)
        late_ms = soak.now_ms() - begin_ms - const.GRACE_MS
        if late_ms > const.EXIT_SLACK_MS:
            hidden = ('Pause', 'lag', 'Kill')
            if not any(
                span.fault in hidden
                and span.entry in (None, entry)
                and span.end_ms > begin_ms - const.STABLE_WINDOW_MS
                for span in soak.tables.spans
            ):
                row = models.ViolationRow('GRACE', f'{entry} still runs')
                soak.tables.violations.append(row)
            _signal(soak, entry, signal.SIGKILL)
            await _sleep(TICK_MS)


async def _return(soak, entry, clock_ms=0):
    """Start an entry again, unless another fault has done so."""
    member = soak.members[entry]
    if not member.ending:
        return
    await _gone(soak, entry)
    for place, down in enumerate(soak.tables.down):
        if down.entry == entry and down.until_ms == float('inf'):
            until_ms = soak.now_ms()
            soak.tables.down[place] = down._replace(until_ms=until_ms)
    if member.ending:
        start(soak, member, clock_ms)


async def _harm(links, condition, for_ms):
    for link in links:
        proxies.harm(link, condition)
    await _sleep(for_ms)
    for link in links:
        if link.condition is condition:
            proxies.harm(link, models.Clear())
            # What was silent hears nothing more on its old connections.
            proxies.reset_all(link)


async def _replace(nursery, soak, place, missing_ms):
    """Let an upstream die; its address goes to another service.

    Its own service gets another one elsewhere, or it would run dry.
    """
    old = place.upstream
    others = [x for x in const.SERVICES if x != old.service]
    upstream = _new_upstream(soak, soak.random.choice(others), old.domain)
    target = await upstreams.serve(nursery, soak, upstream)
    proxies.harm(place.proxy, models.Reset())
    place.upstream = upstream
    place.proxy.target = target
    await _sleep(missing_ms)
    if old.instance in soak.store.objects['servers']:
        stores.remove(soak.store, 'servers', old.instance)
    proxies.harm(place.proxy, models.Clear())
    await _add_place(nursery, soak, old.service, old.domain)
    if place.upstream is upstream:
        _register(soak, place)


async def _drain(nursery, soak, place):
    """Let an upstream leave for good once another one has come."""
    old = place.upstream
    if old.instance not in soak.store.objects['servers']:
        return
    await _add_place(nursery, soak, old.service, old.domain)
    _register(soak, place, 'draining')
    row = models.LeftRow(old.instance, None, soak.now_ms(), float('inf'))
    soak.tables.left.append(row)


async def _evacuate(soak, domain, for_ms):
    if domain in soak.store.objects['evacuations']:
        return
    stores.put(soak.store, 'evacuations', domain, {})
    acked_ms = soak.now_ms()
    await _sleep(for_ms)
    stores.remove(soak.store, 'evacuations', domain)
    row = models.LeftRow(None, domain, acked_ms, soak.now_ms())
    soak.tables.left.append(row)


def _change(soak, is_new):
    services = dict(soak.tables.versions[-1].services)
    if is_new:
        services[f'/add{len(soak.tables.versions)}/'] = 'desk'
    else:
        other = {'desk': 'ledger', 'ledger': 'desk'}
        services['/move/'] = other[services['/move/']]
    configure(soak, services)


def watch_ends(soak):
    """Note each program that ended by itself, and start it again."""
    for member in soak.members.values():
        code = member.process.poll()
        if code is None or member.ending:
            continue
        row = models.ViolationRow('ENDED', f'{member.name} with {code}')
        soak.tables.violations.append(row)
        start(soak, member)


def read_logs(soak):
    """Note what no log of a program may hold."""
    for member in soak.members.values():
        text = (soak.folder / f'{member.name}.log').read_text()
        for line in text.splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                row = models.ViolationRow('LOG', f'{member.name}: {line}')
                soak.tables.violations.append(row)
                continue
            if event.get('event') == 'connection-failed':
                row = models.ViolationRow('LOG', f'{member.name}: {event}')
                soak.tables.violations.append(row)


def unload(soak):
    """End every program that the soak started."""
    for member in soak.members.values():
        if member.process.poll() is None:
            member.process.kill()
        member.process.wait()
