"""Test an entry against odd numbers and odd lists in headers."""

import functools

import pytest
import trio

from adapter import deployments
from adapter import fakes
from zinnialead_gateway import application
from zinnialead_gateway.http import client
from zinnialead_platform import adapter
from zinnialead_platform import boot
from zinnialead_platform import heads
from zinnialead_standins import store as stores

NUMBERS = [
    b'nan',
    b'inf',
    b'-inf',
    b'1e400',
    b'1e300',
    b'9' * 400,
    b'9' * 5_000,
    b'-5',
    b'x',
    b'',
]


async def ask(settings, deadline, *extra_headers):
    """Send a request with the given value of its deadline."""
    headers = [
        (b'Host', b'desk.example'),
        (b'Zinnialead-Request-Id', b'r-1'),
        (b'Zinnialead-Deadline-Ms', deadline),
        *extra_headers,
    ]
    pool = client.Pool(tcp_keepalive=False)
    connection = await client.acquire(pool, settings.front_bind, 1_000.0)
    request = client.Request(b'GET', b'/desk/1', headers, b'')
    with trio.fail_after(4.0):
        await client.send(connection, request)
        return (await client.receive(connection)).status


@pytest.mark.parametrize('value', NUMBERS)
async def test_an_odd_deadline_of_a_caller_does_not_end_an_entry(
    nursery, value
):
    _, _, settings, _ = await deployments.deployment(nursery)
    # No time is left, or the deadline counts as missing.
    assert await ask(settings, value) == (503 if value == b'-5' else 200)
    assert (await deployments.ask(settings.front_bind)).status == 200


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        *((b'Keep-Alive', b'timeout=%s' % x) for x in NUMBERS),
        *((b'Zinnialead-Server-Load', b'1,0,%s' % x) for x in NUMBERS),
        *((b'Zinnialead-Server-Load', b'%s,0,4' % x) for x in NUMBERS),
        *((b'Retry-After', x) for x in NUMBERS),
    ],
)
async def test_an_odd_number_of_an_upstream_does_not_end_an_entry(
    nursery, name, value
):
    _, upstreams, settings, _ = await deployments.deployment(nursery, count=1)
    upstreams[0].extra_headers.append((name, value))
    for number in range(2):
        request_name = f'r-{number}'.encode()
        answer = await deployments.ask(settings.front_bind, name=request_name)
        assert answer.status == 200


@pytest.mark.parametrize(
    'option',
    [
        b'host',
        b'Host, close',
        b'zinnialead-request-id',
        b'zinnialead-deadline-ms',
        b'zinnialead-expect-instance',
        b'cookie',
        b'content-length',
        b',',
    ],
)
async def test_a_caller_that_lists_a_header_in_connection_is_answered(
    nursery, option
):
    """One such request ended the entry and lost all others in hand."""
    _, upstreams, settings, _ = await deployments.deployment(nursery, count=1)
    upstreams[0].work_s = 0.2
    statuses = []

    async def ask_beside():
        answer = await deployments.ask(settings.front_bind, name=b'r-2')
        statuses.append(answer.status)

    async with trio.open_nursery() as callers:
        callers.start_soon(ask_beside)
        await trio.sleep(0.05)
        statuses.append(await ask(settings, b'900', (b'Connection', option)))
    assert statuses == [200, 200]
    assert sorted(upstreams[0].ran) == ['r-1', 'r-2']


async def test_a_request_that_can_not_be_written_ends_no_process(nursery):
    """An error of the HTTP client in one attempt ended the process."""
    upstream = fakes.FakeUpstream('i-0')
    store = stores.new_store()
    stores.put(store, 'config', 'main', deployments.configuration())
    address = await fakes.serve_upstream(nursery, upstream)
    registration = deployments.registration(address)
    stores.put(store, 'servers', 'i-0', registration)
    text = deployments.settings_text(await fakes.serve_store(nursery, store))
    read = functools.partial(boot.parse, text, 7)
    settings = read()
    odd_names = {'r-odd': [(b'not a name', b'1')], 'r-no-host': []}

    def write_request(head, *arguments):
        if head.name in odd_names:
            return odd_names[head.name]
        return heads.write_request(head, *arguments)

    dialect = adapter.DIALECT._replace(write_request=write_request)
    await application.set_up(nursery, settings, read, dialect)
    await deployments.until_ready(settings)
    for name in odd_names:
        answer = await deployments.ask(
            settings.front_bind, name=name.encode(), method=b'POST'
        )
        assert answer.status == 400
        # The upstream is not at fault, and takes the next request at once.
        assert (await deployments.ask(settings.front_bind)).status == 200
    assert upstream.ran == ['r-1', 'r-1']
