"""Test an entry against numbers out of range in headers."""

import pytest
import trio

from adapter import deployments
from zinnialead_gateway.http import client

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


async def ask(settings, deadline):
    """Send a request with the given value of its deadline."""
    headers = [
        (b'Host', b'desk.example'),
        (b'Zinnialead-Request-Id', b'r-1'),
        (b'Zinnialead-Deadline-Ms', deadline),
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
