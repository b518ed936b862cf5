"""Exchange with upstreams that misbehave, over loopback."""

import functools

import pytest
import trio

from zinnialead_gateway.http import client

REQUEST = client.Request(b'GET', b'/x', [(b'Host', b'a')], b'')
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


async def served(nursery, *scripts):
    """Serve each connection by the next script of what to write."""
    left = list(scripts)

    async def handle(stream):
        script = left.pop(0)
        for part in script:
            await stream.receive_some(65_536)
            if part is not None:
                await stream.send_all(part)

    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, handle, 0, host='127.0.0.1')
    )
    port = listeners[0].socket.getsockname()[1]
    return f'127.0.0.1:{port}'


async def exchange(pool, address):
    connection = await client.acquire(pool, address, 5_000.0)
    await client.send(connection, REQUEST)
    response = await client.receive(connection)
    client.release(pool, connection)
    return response


async def test_a_kept_connection_serves_again(nursery):
    address = await served(nursery, [WHOLE, WHOLE])
    pool = client.Pool(tcp_keepalive=False)
    assert (await exchange(pool, address)).body == b'ok'
    assert (await exchange(pool, address)).body == b'ok'
    assert pool.opened_count == 1


async def test_a_connection_that_was_closed_is_not_used_again(nursery):
    address = await served(nursery, [WHOLE], [WHOLE])
    pool = client.Pool(tcp_keepalive=False)
    await exchange(pool, address)
    await trio.sleep(0.05)
    await exchange(pool, address)
    assert pool.opened_count == 2


@pytest.mark.parametrize(
    'extra', [b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n', b'rubbish']
)
async def test_bytes_after_an_answer_belong_to_no_request(nursery, extra):
    address = await served(nursery, [WHOLE + extra], [WHOLE])
    pool = client.Pool(tcp_keepalive=False)
    assert (await exchange(pool, address)).body == b'ok'
    assert (await exchange(pool, address)).body == b'ok'
    assert pool.opened_count == 2


@pytest.mark.parametrize(
    'spoilt',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab',
        b'not an answer at all\r\n\r\n',
        b'',
    ],
)
async def test_an_answer_that_is_cut_or_spoilt_is_no_answer(nursery, spoilt):
    address = await served(nursery, [spoilt or None])
    pool = client.Pool(tcp_keepalive=False)
    with pytest.raises(client.ProtocolError):
        await exchange(pool, address)


async def test_an_answer_without_a_length_ends_with_its_connection(nursery):
    address = await served(nursery, [b'HTTP/1.1 200 OK\r\n\r\nwhole'])
    pool = client.Pool(tcp_keepalive=False)
    assert (await exchange(pool, address)).body == b'whole'
    assert not pool.idle.get(address)


async def test_nobody_who_listens_is_not_sent_to():
    pool = client.Pool(tcp_keepalive=False)
    with pytest.raises(OSError):
        await client.acquire(pool, '127.0.0.1:1', 5_000.0)


async def test_what_an_upstream_says_of_idle_connections_is_kept_to(nursery):
    told = WHOLE.replace(b'OK\r\n', b'OK\r\nKeep-Alive: timeout=1\r\n')
    address = await served(nursery, [told], [WHOLE])
    pool = client.Pool(tcp_keepalive=False)
    await exchange(pool, address)
    await exchange(pool, address)
    assert pool.opened_count == 2
