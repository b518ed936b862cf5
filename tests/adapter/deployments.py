"""Start entries against a fake platform over loopback."""

import contextlib
import functools
import random
import socket
import typing

import trio

from adapter import fakes
from zinnialead_gateway import application
from zinnialead_gateway.http import client
from zinnialead_platform import adapter
from zinnialead_platform import boot
from zinnialead_standins import store as stores

SETTINGS = """
[self]
node_id = "{name}"
ip = "127.0.0.1"
zone = "{domain}"
region = "{region}"
bootstrap = false
[self.limits]
memory_mb = 222
max_fds = 1000
[network]
internal_port_range = [{port}, {last}]
seeds = [{seeds}]
[network.listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[network.zones]
{domains}
[platform]
discovery = "platform"
[platform.platform]
addr = "{store}"
[terms.bounds]
retry_budget_ratio = 0.2
budget_extra_tries = 133
budget_window = "10s"
max_shift_fraction = 0.15
grace = "{grace_ms:.0f}ms"
ttl_max = "5s"
"""


# The ports below the ephemeral ones, and the part that each process gets.
FIRST_PORT, END_PORT = 10_000, 32_000
PORTS_PER_PROCESS = 1_000


def route(kind='idempotent', **fields):
    return {
        'host': 'desk.example',
        'path_prefix': '/desk/',
        'kind': kind,
        'timeout': '2s',
        'target_latency': '500ms',
        'priority': 0,
        'service': 'desk',
        'max_attempts': 2,
        'session_affinity': True,
        'home_regions': [],
        **fields,
    }


def configuration(version=1, **fields):
    return {
        'version': version,
        'routes': {'r-1': route(**fields)},
        'services': {
            'desk': {
                'health_path': '/health',
                'max_conns': 100,
                'warmup': '3s',
                'cold_per_s': 50.0,
            }
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 100000,
            'header_timeout': '3s',
            'idle_timeout': '15s',
        },
    }


def registration(address, **fields):
    return {
        'service': 'desk',
        'addr': address,
        'zone': 'guj-a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'cold_left': '0ms',
        'sequence': 1,
        'born': 5,
        **fields,
    }


class Reservation(typing.NamedTuple):
    """Hold the first port of a process's range, and its lock."""

    first: int
    lock: socket.socket


@functools.cache
def reserve_ports():
    """Reserve a range of ports for this process until it ends.

    Other processes could take a port while an entry that uses it is down.
    """
    for first in range(FIRST_PORT, END_PORT, PORTS_PER_PROCESS):
        lock = socket.socket(socket.AF_UNIX)
        try:
            lock.bind(f'\0zinnialead-test-ports-{first}')
        except OSError:
            lock.close()
            continue
        return Reservation(first, lock)
    raise RuntimeError('too many processes run tests')


def free_ports(count):
    """Return consecutive free ports of this process's range.

    It is below the ephemeral ports: another process could take one of those
    before an entry binds it.
    """
    start = reserve_ports().first
    while True:
        first = random.randrange(start, start + PORTS_PER_PROCESS - count)
        ports = list(range(first, first + count))
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in ports:
                sock = stack.enter_context(socket.socket())
                sock.bind(('127.0.0.1', port))
            return ports


DOMAINS = {'guj-a': 'guj', 'tn-a': 'tn'}


def settings_text(
    store_address,
    name='edge-1',
    seeds='',
    ports=None,
    domain='guj-a',
    domains=DOMAINS,
    grace_ms=1_000.0,
):
    """Return the text of a settings file, with free ports by default."""
    front, ready, control, directory, port, _ = ports or free_ports(6)
    return SETTINGS.format(
        name=name,
        domain=domain,
        region=domains[domain],
        domains='\n'.join(f'{x} = "{y}"' for x, y in domains.items()),
        port=port,
        last=port + 15,
        seeds=seeds,
        front=front,
        ready=ready,
        control=control,
        directory=directory,
        store=store_address,
        grace_ms=grace_ms,
    )


async def entry(nursery, store_address, name='edge-1', seeds=''):
    """Start an entry; return its settings."""
    text = settings_text(store_address, name, seeds)
    read = functools.partial(boot.parse, text, 7)
    settings = read()
    await application.set_up(nursery, settings, read, adapter.DIALECT)
    return settings


async def ask(
    address,
    method=b'GET',
    target=b'/desk/1',
    name=b'r-1',
    deadline_ms=1_500,
):
    headers = [
        (b'Host', b'desk.example'),
        (b'Zinnialead-Request-Id', name),
        (b'Zinnialead-Deadline-Ms', str(deadline_ms).encode()),
    ]
    pool = client.Pool(tcp_keepalive=False)
    connection = await client.acquire(pool, address, 1_000.0)
    try:
        request = client.Request(method, target, headers, b'')
        await client.send(connection, request)
        return await client.receive(connection)
    finally:
        client.close(connection)


async def until_ready(settings, status=200):
    with trio.fail_after(5.0):
        last_status = 0
        while last_status != status:
            await trio.sleep(0.02)
            last_status = (
                await ask(settings.ready_bind, target=b'/ready')
            ).status


async def until_served(settings, target):
    with trio.fail_after(8.0):
        status = 0
        while status != 200:
            await trio.sleep(0.05)
            status = (await ask(settings.front_bind, target=target)).status


async def deployment(nursery, count=2, **fields):
    """Start a store, upstreams and an entry; wait until it is ready."""
    store = stores.new_store()
    upstreams = [fakes.FakeUpstream(f'i-{n}') for n in range(count)]
    stores.put(store, 'config', 'main', configuration(**fields))
    for upstream in upstreams:
        address = await fakes.serve_upstream(nursery, upstream)
        stores.put(store, 'servers', upstream.instance, registration(address))
    address = await fakes.serve_store(nursery, store)
    settings = await entry(nursery, address)
    await until_ready(settings)
    return store, upstreams, settings, address
