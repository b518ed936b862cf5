"""Serve requests through a whole entry over loopback."""

import contextlib
import functools
import random
import socket

import pytest
import trio

from adapter import fakes
from zinnialead_gateway import application
from zinnialead_gateway.http import client
from zinnialead_platform import adapter
from zinnialead_platform import boot

SETTINGS = """
[self]
node_id = "{name}"
ip = "127.0.0.1"
zone = "guj-a"
region = "guj"
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
guj-a = "guj"
tn-a = "tn"
[platform]
discovery = "platform"
[platform.platform]
addr = "{store}"
[terms.bounds]
retry_budget_ratio = 0.2
budget_extra_tries = 133
budget_window = "10s"
max_shift_fraction = 0.15
grace = "1s"
ttl_max = "5s"
"""


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
            'desk': {'max_conns': 100, 'warmup': '3s', 'cold_per_s': 50.0}
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


def free_ports(count):
    """Return ports in a row, below those that the system gives out.

    Ports that it gives out may be taken again before an entry binds them.
    """
    while True:
        first = random.randrange(10_000, 32_000)
        ports = list(range(first, first + count))
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in ports:
                sock = stack.enter_context(socket.socket())
                sock.bind(('127.0.0.1', port))
            return ports


async def entry(nursery, store_address, name='edge-1', seeds=''):
    """Start an entry; return its settings."""
    front, ready, control, directory, port, _ = free_ports(6)
    text = SETTINGS.format(
        name=name,
        port=port,
        last=port + 15,
        seeds=seeds,
        front=front,
        ready=ready,
        control=control,
        directory=directory,
        store=store_address,
    )
    read = functools.partial(boot.parse, text, 7)
    settings = read()
    await application.set_up(nursery, settings, read, adapter.DIALECT)
    return settings


async def ask(address, method=b'GET', target=b'/desk/1', name=b'r-1'):
    headers = [
        (b'Host', b'desk.example'),
        (b'Zinnialead-Request-Id', name),
        (b'Zinnialead-Deadline-Ms', b'1500'),
    ]
    pool = client.Pool(watched=False)
    connection = await client.take(pool, address, 1_000.0)
    try:
        request = client.Request(method, target, headers, b'')
        await client.send(connection, request)
        return await client.receive(connection)
    finally:
        client.close(connection)


async def until_ready(settings, status=200):
    with trio.fail_after(5.0):
        found = 0
        while found != status:
            await trio.sleep(0.02)
            found = (await ask(settings.ready_bind, target=b'/ready')).status


async def until_served(settings, target):
    with trio.fail_after(8.0):
        status = 0
        while status != 200:
            await trio.sleep(0.05)
            status = (await ask(settings.front_bind, target=target)).status


async def deployment(nursery, count=2, **fields):
    """Start a store, upstreams and an entry that is ready."""
    store = fakes.FakeStore()
    made = [fakes.FakeUpstream(f'i-{n}') for n in range(count)]
    fakes.put(store, 'config', 'main', configuration(**fields))
    for upstream in made:
        address = await fakes.serve_upstream(nursery, upstream)
        fakes.put(store, 'servers', upstream.instance, registration(address))
    address = await fakes.serve_store(nursery, store)
    settings = await entry(nursery, address)
    await until_ready(settings)
    return store, made, settings, address


async def test_a_request_is_served(nursery):
    _, made, settings, _ = await deployment(nursery)
    answer = await ask(settings.front_bind)
    assert (answer.status, answer.body) == (200, b'done')
    assert [x for one in made for x in one.ran] == ['r-1']


async def test_an_unknown_route_is_not_found(nursery):
    _, _, settings, _ = await deployment(nursery)
    assert (await ask(settings.front_bind, target=b'/x/')).status == 404


async def test_a_look_up_names_the_entry(nursery):
    _, _, settings, _ = await deployment(nursery)
    target = b'/resolve?name=a&region=guj&zone=guj-a'
    answer = await ask(settings.directory_bind, target=target)
    assert settings.front_bind.encode() in answer.body


@pytest.mark.parametrize('how', ['cuts', 'unsealed'])
async def test_work_that_runs_once_is_not_sent_again(nursery, how):
    _, made, settings, _ = await deployment(nursery, kind='non_idempotent')
    for upstream in made:
        upstream.how = how
    answer = await ask(settings.front_bind, method=b'POST')
    assert answer.status == 502
    assert len([x for one in made for x in one.ran]) == 1


async def test_work_that_every_upstream_sheds_has_not_run(nursery):
    _, made, settings, _ = await deployment(nursery, kind='non_idempotent')
    for upstream in made:
        upstream.how = 'sheds'
    answer = await ask(settings.front_bind, method=b'POST')
    assert answer.status == 503
    assert b'retry-after' in {k.lower() for k, _ in answer.headers}
    assert not [x for one in made for x in one.ran]


async def test_idempotent_work_is_sent_again(nursery):
    _, made, settings, _ = await deployment(nursery)
    made[0].how = made[1].how = 'cuts'
    assert (await ask(settings.front_bind)).status == 502
    assert len([x for one in made for x in one.ran]) == 2


async def test_an_address_that_another_upstream_has_runs_nothing(nursery):
    _, made, settings, _ = await deployment(nursery)
    made[0].instance = 'i-other'
    for number in range(8):
        name = f'r-{number}'.encode()
        target = f'/desk/{number}'.encode()
        answer = await ask(settings.front_bind, name=name, target=target)
        assert answer.status == 200
    assert not made[0].ran


async def test_a_draining_upstream_gets_nothing_after_its_change(nursery):
    store, made, settings, _ = await deployment(nursery)
    spec = store.objects['servers']['i-0']['spec']
    fakes.put(store, 'servers', 'i-0', {**spec, 'state': 'draining'})
    await trio.sleep(0.6)
    made[0].ran.clear()
    for number in range(8):
        target = f'/desk/{number}'.encode()
        await ask(settings.front_bind, target=target)
    assert not made[0].ran


@pytest.mark.parametrize('trouble', ['down', 'busy', 'silent'])
async def test_the_store_may_be_away(nursery, trouble):
    store, _, settings, _ = await deployment(nursery)
    store.trouble = trouble
    await trio.sleep(0.3)
    assert (await ask(settings.front_bind)).status == 200
    store.trouble = ''
    fakes.put(store, 'config', 'main', configuration(2, path_prefix='/new/'))
    await until_served(settings, b'/new/1')


async def test_a_registration_whose_answer_was_lost_is_made_once(nursery):
    store = fakes.FakeStore(trouble='lost')
    fakes.put(store, 'config', 'main', configuration())
    address = await fakes.serve_store(nursery, store)
    await entry(nursery, address)
    await trio.sleep(0.5)
    store.trouble = ''
    await trio.sleep(1.5)
    (kind,) = [x for x in store.objects if x.endswith('entries')]
    assert list(store.objects[kind]) == ['edge-1']
    calls = store.calls[f'POST {kind}'] + store.calls[f'PUT {kind}']
    assert calls <= 6


async def test_an_entry_starts_without_the_store_from_a_seed(nursery):
    store, _, settings, address = await deployment(nursery)
    store.trouble = 'silent'
    seed = settings.asked_binds[1]
    other = await entry(nursery, address, 'edge-2', f'"{seed}"')
    await until_ready(other)
    assert (await ask(other.front_bind)).status == 200


async def test_the_metrics_page_counts_requests(nursery):
    _, _, settings, _ = await deployment(nursery)
    await ask(settings.front_bind)
    page = await ask(settings.metrics_bind, target=b'/metrics')
    assert b'zinnialead_events_total{event="requests.arrived"} 1.0' in (
        page.body
    )
    assert b'zinnialead_request_ms_bucket' in page.body


async def test_a_caller_that_leaves_frees_its_upstream(nursery):
    _, made, settings, _ = await deployment(nursery, count=1)
    made[0].work_s = 5.0
    with trio.move_on_after(0.2):
        await ask(settings.front_bind)
    made[0].work_s = 0.0
    await trio.sleep(0.2)
    answer = await ask(settings.front_bind, name=b'r-2')
    assert answer.status == 200


async def test_a_request_is_answered_when_its_time_is_over(nursery):
    _, made, settings, _ = await deployment(nursery, count=1, timeout='300ms')
    made[0].work_s = 5.0
    with trio.fail_after(1.0):
        assert (await ask(settings.front_bind)).status == 504
