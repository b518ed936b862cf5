"""Start the real programs and inject faults."""

import collections
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
from soak import readers
from soak import upstreams
from zinnialead_standins import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
ENTRY_PROGRAM = ROOT / 'platform' / 'entry.py'
# Holds the sitecustomize module that shifts the clock of an entry.
CLOCK_FOLDER = pathlib.Path(__file__).with_name('clock')
POLL_PERIOD_MS = 20.0
# Ports of an entry, and the index of the one that its peers connect to.
PORTS_PER_ENTRY = 6
CONTROL_PORT = 2
# Time allowed for the start of the interpreter, some 30 ms on an idle core.
INTERPRETER_START_MS = 400.0
# Path prefixes and services of the first configuration.
INITIAL_ROUTES = {'/look/': 'desk', '/book/': 'ledger', '/move/': 'desk'}
STORE_CONDITIONS = {
    'down': stores.Down(),
    'busy': stores.Busy(),
    'silent': stores.Silent(),
    'lost': stores.LosesAnswers(),
    'deaf': stores.WithholdsEvents(),
}
SERVICE = {
    'health_path': upstreams.HEALTH_PATH,
    'max_conns': 100,
    'warmup': f'{const.WARM_UP_MS:.0f}ms',
    'cold_per_s': const.COLD_PER_S,
}
NON_IDEMPOTENT_PREFIXES = frozenset(('/book/',))


@dataclasses.dataclass
class Member:
    """Hold one entry's process and its proxies to callers and the store."""

    name: str
    settings_path: pathlib.Path
    front_address: str
    directory_address: str
    front_proxy: proxies.Proxy
    store_proxy: proxies.Proxy
    process: subprocess.Popen | None = None
    # Name of the signal that was sent to end it; '' while it should run.
    stop_signal: str = ''
    started_ms: float = float('-inf')


@dataclasses.dataclass
class Soak:
    """Hold the state of one run."""

    folder: pathlib.Path
    random: random.Random
    tables: models.Tables
    store: stores.Store
    members: dict
    endpoints: list
    start_s: float
    non_idempotent_prefixes: frozenset = NON_IDEMPOTENT_PREFIXES
    is_over: bool = False
    # Upstreams by instance, the configuration and the evacuations by domain:
    # what the store holds once all has been written again.
    upstreams: dict = dataclasses.field(default_factory=dict)
    configuration: dict = dataclasses.field(default_factory=dict)
    evacuations: dict = dataclasses.field(default_factory=dict)
    # Times in seconds of trio's clock, and copies of the store.
    store_copies: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=const.COPIES_MAX)
    )
    is_store_away: bool = False

    def now_ms(self):
        """Return the time since the run began, in ms."""
        return (trio.current_time() - self.start_s) * const.MS_PER_S


async def start_fleet(nursery, folder, seed):
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
    put_configuration(soak, dict(INITIAL_ROUTES))
    domains = list(const.DOMAINS)
    for service, count in const.SERVICES.items():
        for number in range(count):
            await _add_endpoint(nursery, soak, service, domains[number % 3])
    address = await fakes.serve_store(nursery, store)
    ports = deployments.free_ports(PORTS_PER_ENTRY * len(const.ALL_ENTRIES))
    for number, name in enumerate(const.ALL_ENTRIES):
        await _add_member(nursery, soak, name, address, ports, number)
    nursery.start_soon(_copy_store, soak)
    return soak


async def _add_endpoint(nursery, soak, service, domain):
    upstream = _new_upstream(soak, service, domain)
    target = await upstreams.serve(nursery, soak, upstream)
    proxy = await proxies.start(nursery, target)
    soak.endpoints.append(upstreams.Endpoint(proxy, upstream))
    await _register(soak, upstream, proxy.address)


def _new_upstream(soak, service, domain):
    instance = f'i-{len(soak.upstreams) + 1}'
    upstream = upstreams.Upstream(instance, service, domain)
    soak.upstreams[instance] = upstream
    return upstream


async def _register(soak, upstream, address):
    await _wait_for_store(soak)
    upstream.address = address
    _write_upstream(soak, upstream)


def _write_upstream(soak, upstream):
    """Bring an upstream's object in the store up to date."""
    instance = upstream.instance
    if not upstream.address or upstream.state is upstreams.State.REMOVED:
        if instance in soak.store.objects['servers']:
            stores.remove(soak.store, 'servers', instance)
        return
    spec = deployments.registration(
        upstream.address,
        service=upstream.service,
        zone=upstream.domain,
        slots=upstream.slots,
        state=upstream.state.value,
        born=upstream.born,
        cold_left=f'{max(0.0, upstream.cold_until_ms - soak.now_ms()):.0f}ms',
    )
    stores.put(soak.store, 'servers', instance, spec)


async def _copy_store(soak):
    """Copy the store while it serves."""
    while True:
        if not soak.is_store_away:
            copy = stores.snapshot(soak.store)
            soak.store_copies.append((trio.current_time(), copy))
        await _sleep(const.COPY_PERIOD_MS)


async def _wait_for_store(soak):
    """Wait until the store acknowledges what is written."""
    while soak.is_store_away:
        await _sleep(POLL_PERIOD_MS)


async def _add_member(nursery, soak, name, store_address, ports, number):
    entry_ports = ports[
        PORTS_PER_ENTRY * number : PORTS_PER_ENTRY * (number + 1)
    ]
    front_port, _, _, directory_port, _, _ = entry_ports
    store_proxy = await proxies.start(nursery, store_address)
    front_proxy = await proxies.start(nursery, f'127.0.0.1:{front_port}')
    control_ports = ports[CONTROL_PORT::PORTS_PER_ENTRY]
    text = deployments.settings_text(
        store_proxy.address,
        name,
        ', '.join(f'"127.0.0.1:{x}"' for x in control_ports),
        entry_ports,
        list(const.DOMAINS)[number % len(const.DOMAINS)],
        const.DOMAINS,
        const.GRACE_MS,
    )
    path = soak.folder / f'{name}.toml'
    path.write_text(text)
    member = Member(
        name,
        path,
        f'127.0.0.1:{front_port}',
        f'127.0.0.1:{directory_port}',
        front_proxy,
        store_proxy,
    )
    soak.members[name] = member
    start(soak, member)


def start(soak, member, clock_offset_ms=0):
    """Start an entry's program."""
    environment = {
        **os.environ,
        'ZINNIALEAD_BOOT': str(member.settings_path),
        'SOAK_CLOCK_OFFSET_MS': str(clock_offset_ms),
        'PYTHONPATH': os.pathsep.join([str(CLOCK_FOLDER), *sys.path]),
    }
    log = soak.folder / f'{member.name}.log'
    with log.open('ab') as file:
        member.process = subprocess.Popen(
            [sys.executable, str(ENTRY_PROGRAM)],
            env=environment,
            stdout=file,
            stderr=file,
        )
    member.stop_signal = ''
    member.started_ms = soak.now_ms()
    row = models.ProcessRow(member.name, member.started_ms, float('inf'))
    soak.tables.processes.append(row)


def put_configuration(soak, services):
    """Put the next version of the configuration into the store."""
    version = len(soak.tables.versions) + 1
    spec = deployments.configuration(version)
    spec['routes'] = {
        f'r-{prefix.strip("/")}': deployments.route(
            'non_idempotent'
            if prefix in NON_IDEMPOTENT_PREFIXES
            else 'idempotent',
            path_prefix=prefix,
            service=service,
            timeout=f'{const.ROUTE_TIMEOUT_MS:.0f}ms',
            max_attempts=const.ATTEMPTS_MAX,
        )
        for prefix, service in services.items()
    }
    spec['services'] = dict.fromkeys(const.SERVICES, SERVICE)
    soak.configuration = spec
    stores.put(soak.store, 'config', 'main', spec)
    row = models.VersionRow(version, soak.now_ms(), services)
    soak.tables.versions.append(row)


async def inject(nursery, soak, fault):
    """Inject a fault; record its time span for each affected entry."""
    async with trio.open_nursery() as parts:
        for part in _parts(soak, fault):
            parts.start_soon(_inject_part, nursery, soak, part)


def _parts(soak, fault):
    """Return the faults that a fault of a region's readers consists of."""
    match fault:
        case models.ReadersKilled(region, duration_ms):
            return [models.Kill(readers.find(soak, region), duration_ms)]
        case models.ReadersPaused(region, duration_ms):
            found = readers.find(soak, region)
            return [models.Pause(entry, duration_ms) for entry in found]
        case models.ReadersSilenced(region, duration_ms):
            found = readers.find(soak, region)
            return [models.StoreLink(found, models.Silent(), duration_ms)]
        case _:
            return [fault]


async def _inject_part(nursery, soak, fault):
    begin_ms = soak.now_ms()
    entries, is_planned = _affected_entries(fault)
    indexed_entries = [
        (len(soak.tables.spans) + n, entry) for n, entry in enumerate(entries)
    ]
    fault_name = type(fault).__name__
    for _, entry in indexed_entries:
        span = models.SpanRow(fault_name, entry, is_planned, begin_ms, 1e12)
        soak.tables.spans.append(span)
    try:
        await _inject(nursery, soak, fault)
    finally:
        for index, _ in indexed_entries:
            span = soak.tables.spans[index]
            ended = span._replace(end_ms=soak.now_ms())
            soak.tables.spans[index] = ended


def _affected_entries(fault):
    """Return the affected entries (None: all), and whether it is planned."""
    match fault:
        case models.Kill(entries) | models.StoreLink(entries):
            return entries, False
        case models.Stop(entry) | models.Reload(entry):
            return (entry,), True
        case models.Pause(entry) | models.FrontLink(entry):
            return (entry,), False
        case (
            models.Drain()
            | models.Evacuate()
            | models.Configure()
            | models.Join()
        ):
            return (None,), True
        case _:
            return (None,), False


async def _inject(nursery, soak, fault):
    match fault:
        case models.Kill(entries, down_ms, clock_offset_ms):
            for entry in entries:
                _send_signal(soak, entry, signal.SIGKILL)
            await _sleep(down_ms)
            for entry in entries:
                await _restart(soak, entry, clock_offset_ms)
        case models.Stop(entry, down_ms):
            _send_signal(soak, entry, signal.SIGTERM)
            await _wait_for_exit(soak, entry)
            await _sleep(down_ms)
            await _restart(soak, entry)
        case models.Pause(entry, duration_ms):
            _send_signal(soak, entry, signal.SIGSTOP)
            await _sleep(duration_ms)
            _send_signal(soak, entry, signal.SIGCONT)
        case models.Reload(entry):
            await _wait_until_running(soak, entry)
            _send_signal(soak, entry, signal.SIGHUP)
        case _:
            await _inject_external(nursery, soak, fault)


async def _inject_external(nursery, soak, fault):
    """Inject a fault into the store or links, or what the operator does."""
    match fault:
        case models.StoreFault('compacted', _):
            stores.forget_before(soak.store, soak.store.revision)
        case models.StoreFault() if soak.is_store_away:
            return
        case models.StoreFault(store_condition, duration_ms):
            stores.set_condition(soak.store, STORE_CONDITIONS[store_condition])
            await _sleep(duration_ms)
            if not soak.is_store_away:
                stores.set_condition(soak.store, stores.Up())
        case models.StoreRestored():
            await _restore_store(nursery, soak, fault)
        case models.StoreLink(entries, condition, duration_ms):
            links = [soak.members[entry].store_proxy for entry in entries]
            await _impair(links, condition, duration_ms)
        case models.FrontLink(entry, condition, duration_ms):
            await _impair(
                [soak.members[entry].front_proxy], condition, duration_ms
            )
        case models.UpstreamLink(index, condition, duration_ms):
            await _impair(
                [soak.endpoints[index].proxy], condition, duration_ms
            )
        case models.Evacuate(domain, duration_ms):
            await _evacuate(soak, domain, duration_ms)
        case models.Configure(is_new):
            await _change_routes(soak, is_new)
        case _:
            await _inject_upstreams(nursery, soak, fault)


async def _inject_upstreams(nursery, soak, fault):
    """Restart, replace, drain or add an upstream."""
    match fault:
        case models.RestartUpstream(index, down_ms, registered_ms):
            endpoint = soak.endpoints[index]
            await _restart_upstream(soak, endpoint, down_ms, registered_ms)
        case models.Replace(index, missing_ms):
            await _replace(nursery, soak, soak.endpoints[index], missing_ms)
        case models.Drain(index, is_announced):
            endpoint = soak.endpoints[index]
            await _drain(nursery, soak, endpoint, is_announced)
        case models.Join(service, domain):
            await _add_endpoint(nursery, soak, service, domain)


async def _sleep(duration_ms):
    await trio.sleep(duration_ms / const.MS_PER_S)


async def _wait_until_running(soak, entry):
    """Wait until an interpreter that was just started runs the program.

    Before that, the program can't have installed its signal handlers.
    """
    member = soak.members[entry]
    while soak.now_ms() - member.started_ms < INTERPRETER_START_MS:
        await _sleep(POLL_PERIOD_MS)


def _send_signal(soak, entry, signal_number):
    """Send a signal to an entry's process if it still runs."""
    member = soak.members[entry]
    if member.process.poll() is not None:
        return
    if signal_number == signal.SIGTERM:
        _record_sigterm(soak, entry)
    if signal_number in (signal.SIGKILL, signal.SIGTERM):
        member.stop_signal = member.stop_signal or signal_number.name
        if signal_number == signal.SIGKILL:
            member.stop_signal = signal_number.name
            outage = models.DownRow(entry, soak.now_ms(), float('inf'))
            soak.tables.outages.append(outage)
    member.process.send_signal(signal_number)


def _record_sigterm(soak, entry):
    """Record the first SIGTERM of an entry's last process."""
    processes = soak.tables.processes
    index = max(n for n, x in enumerate(processes) if x.entry == entry)
    stopping_ms = min(processes[index].stopping_ms, soak.now_ms())
    processes[index] = processes[index]._replace(stopping_ms=stopping_ms)


async def _wait_for_exit(soak, entry):
    """Wait for a process to exit; kill it if late (GRACE unless excused)."""
    process = soak.members[entry].process
    begin_ms = soak.now_ms()
    is_killed = False
    while process.poll() is None:
        await _sleep(POLL_PERIOD_MS)
        overrun_ms = soak.now_ms() - begin_ms - const.GRACE_MS
        if overrun_ms > const.EXIT_SLACK_MS and not is_killed:
            excusing_faults = ('Pause', 'lag', 'Kill')
            if not any(
                span.fault in excusing_faults
                and span.entry in (None, entry)
                and span.end_ms > begin_ms - const.STABLE_WINDOW_MS
                for span in soak.tables.spans
            ):
                state = _kernel_state(process)
                row = models.ViolationRow('GRACE', f'{entry} runs: {state}')
                soak.tables.violations.append(row)
            _send_signal(soak, entry, signal.SIGKILL)
            is_killed = True


def _kernel_state(process):
    """Return the kernel's view, to tell a busy process from a stuck one."""
    return pathlib.Path(f'/proc/{process.pid}/stat').read_text().strip()


async def _restart(soak, entry, clock_offset_ms=0):
    """Restart an entry, unless another fault has done so."""
    member = soak.members[entry]
    if not member.stop_signal:
        return
    await _wait_for_exit(soak, entry)
    for index, outage in enumerate(soak.tables.outages):
        if outage.entry == entry and outage.until_ms == float('inf'):
            until_ms = soak.now_ms()
            soak.tables.outages[index] = outage._replace(until_ms=until_ms)
    if member.stop_signal:
        start(soak, member, clock_offset_ms)


async def _impair(links, condition, duration_ms):
    for link in links:
        proxies.set_condition(link, condition)
    await _sleep(duration_ms)
    for link in links:
        if link.condition is condition:
            proxies.set_condition(link, models.Clear())
            # Connections that lost bytes stay silent and are of no use.
            proxies.reset_all(link)


async def _restart_upstream(soak, endpoint, down_ms, registered_ms):
    """Refuse connections for a while, then serve as a new, cold run."""
    upstream = endpoint.upstream
    condition = models.Reset()
    proxies.set_condition(endpoint.proxy, condition)
    await _sleep(down_ms)
    if endpoint.upstream is not upstream:
        return
    upstream.born += 1
    upstream.cold_until_ms = soak.now_ms() + const.WARM_UP_MS
    row = models.UpstreamStartRow(upstream.instance, soak.now_ms())
    soak.tables.upstream_starts.append(row)
    if endpoint.proxy.condition is condition:
        proxies.set_condition(endpoint.proxy, models.Clear())
    await _sleep(registered_ms)
    await _wait_for_store(soak)
    _write_upstream(soak, upstream)


async def _replace(nursery, soak, endpoint, missing_ms):
    """Stop an upstream; an upstream of another service takes its address.

    The service of the stopped upstream gets another one at a new address;
    otherwise it would run out of upstreams.
    """
    old = endpoint.upstream
    other_services = [x for x in const.SERVICES if x != old.service]
    upstream = _new_upstream(
        soak, soak.random.choice(other_services), old.domain
    )
    target = await upstreams.serve(nursery, soak, upstream)
    proxies.set_condition(endpoint.proxy, models.Reset())
    endpoint.upstream = upstream
    endpoint.proxy.target = target
    await _sleep(missing_ms)
    await _wait_for_store(soak)
    old.state = upstreams.State.REMOVED
    _write_upstream(soak, old)
    proxies.set_condition(endpoint.proxy, models.Clear())
    await _add_endpoint(nursery, soak, old.service, old.domain)
    if endpoint.upstream is upstream:
        await _register(soak, upstream, endpoint.proxy.address)


async def _drain(nursery, soak, endpoint, is_announced):
    """Drain an upstream for good after adding another one."""
    old = endpoint.upstream
    if not old.address or old.state is not upstreams.State.READY:
        return
    await _add_endpoint(nursery, soak, old.service, old.domain)
    await _wait_for_store(soak)
    if old.state is not upstreams.State.READY:
        return
    old.state = (
        upstreams.State.DRAINING if is_announced else upstreams.State.REMOVED
    )
    _write_upstream(soak, old)
    row = models.LeftRow(old.instance, None, soak.now_ms(), float('inf'))
    soak.tables.departures.append(row)


async def _evacuate(soak, domain, duration_ms):
    await _wait_for_store(soak)
    if soak.evacuations.get(domain):
        return
    soak.evacuations[domain] = True
    _write_evacuation(soak, domain)
    acked_ms = soak.now_ms()
    await _sleep(duration_ms)
    await _wait_for_store(soak)
    soak.evacuations[domain] = False
    _write_evacuation(soak, domain)
    row = models.LeftRow(None, domain, acked_ms, soak.now_ms())
    soak.tables.departures.append(row)


def _write_evacuation(soak, domain):
    """Bring a domain's object in the store up to date."""
    if soak.evacuations[domain]:
        stores.put(soak.store, 'evacuations', domain, {})
    elif domain in soak.store.objects['evacuations']:
        stores.remove(soak.store, 'evacuations', domain)


async def _restore_store(nursery, soak, fault):
    """Bring the store back from a copy; all write again what is lost."""
    copied_s = trio.current_time() - fault.copy_age_ms / const.MS_PER_S
    older = [copy for at_s, copy in soak.store_copies if at_s <= copied_s]
    copy = older[-1] if older else soak.store_copies[0][1]
    soak.is_store_away = True
    match fault.condition:
        case stores.Down():
            stores.set_condition(soak.store, fault.condition)
            await _sleep(fault.duration_ms)
        case _:
            links = [member.store_proxy for member in soak.members.values()]
            await _impair(links, fault.condition, fault.duration_ms)
    stores.restore(soak.store, copy)
    stores.set_condition(soak.store, stores.Up())
    soak.is_store_away = False
    for upstream in soak.upstreams.values():
        nursery.start_soon(_write_upstream_again, soak, upstream)
    nursery.start_soon(_write_operators_again, soak)


async def _write_upstream_again(soak, upstream):
    await _sleep(soak.random.uniform(0.0, const.HEARTBEAT_MS))
    await _wait_for_store(soak)
    _write_upstream(soak, upstream)


async def _write_operators_again(soak):
    await _sleep(soak.random.uniform(0.0, const.OPERATOR_WRITES_AGAIN_MS))
    await _wait_for_store(soak)
    stores.put(soak.store, 'config', 'main', soak.configuration)
    for domain in soak.evacuations:
        _write_evacuation(soak, domain)


async def _change_routes(soak, is_new):
    await _wait_for_store(soak)
    services = dict(soak.tables.versions[-1].services)
    if is_new:
        services[f'/add{len(soak.tables.versions)}/'] = 'desk'
    else:
        other = {'desk': 'ledger', 'ledger': 'desk'}
        services['/move/'] = other[services['/move/']]
    put_configuration(soak, services)


def restart_exited(soak):
    """Record and restart each program that exited by itself."""
    for member in soak.members.values():
        code = member.process.poll()
        if code is None or member.stop_signal:
            continue
        row = models.ViolationRow('ENDED', f'{member.name} with {code}')
        soak.tables.violations.append(row)
        start(soak, member)


def check_logs(soak):
    """Record log lines that aren't JSON or report a failed connection."""
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


def kill_all(soak):
    """Kill every program that the soak started."""
    for member in soak.members.values():
        if member.process.poll() is None:
            member.process.kill()
        member.process.wait()
