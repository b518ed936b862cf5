"""Test the HTTP client against misbehaving servers over loopback."""

import functools

import pytest
import trio

from zinnialead_gateway.http import client
from zinnialead_gateway.http import sockets

REQUEST = client.Request(b'GET', b'/x', [(b'Host', b'a')], b'')
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


async def serve(nursery, *scripts):
    """Serve each connection with the next script of responses."""
    remaining = list(scripts)

    async def handle(stream):
        script = remaining.pop(0)
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


async def test_an_idle_connection_is_reused(nursery):
    address = await serve(nursery, [RESPONSE, RESPONSE])
    pool = client.Pool(tcp_keepalive=False)
    assert (await exchange(pool, address)).body == b'ok'
    assert (await exchange(pool, address)).body == b'ok'
    assert pool.opened_count == 1


async def test_a_closed_connection_is_not_reused(nursery):
    address = await serve(nursery, [RESPONSE], [RESPONSE])
    pool = client.Pool(tcp_keepalive=False)
    await exchange(pool, address)
    await trio.sleep(0.05)
    await exchange(pool, address)
    assert pool.opened_count == 2


@pytest.mark.parametrize(
    'trailing', [b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n', b'rubbish']
)
async def test_a_connection_with_trailing_bytes_is_not_reused(
    nursery, trailing
):
    address = await serve(nursery, [RESPONSE + trailing], [RESPONSE])
    pool = client.Pool(tcp_keepalive=False)
    assert (await exchange(pool, address)).body == b'ok'
    assert (await exchange(pool, address)).body == b'ok'
    assert pool.opened_count == 2


@pytest.mark.parametrize(
    'malformed',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab',
        b'not an answer at all\r\n\r\n',
        b'',
    ],
)
async def test_a_malformed_response_is_a_protocol_error(nursery, malformed):
    address = await serve(nursery, [malformed or None])
    pool = client.Pool(tcp_keepalive=False)
    with pytest.raises(client.ProtocolError):
        await exchange(pool, address)


async def test_a_response_without_a_length_ends_at_close(nursery):
    address = await serve(nursery, [b'HTTP/1.1 200 OK\r\n\r\nwhole'])
    pool = client.Pool(tcp_keepalive=False)
    assert (await exchange(pool, address)).body == b'whole'
    assert not pool.idle.get(address)


async def test_a_refused_connection_raises_os_error():
    pool = client.Pool(tcp_keepalive=False)
    with pytest.raises(OSError):
        await client.acquire(pool, '127.0.0.1:1', 5_000.0)


async def test_the_keep_alive_timeout_is_respected(nursery):
    keep_alive = RESPONSE.replace(
        b'OK\r\n', b'OK\r\nKeep-Alive: timeout=1\r\n'
    )
    address = await serve(nursery, [keep_alive], [RESPONSE])
    pool = client.Pool(tcp_keepalive=False)
    await exchange(pool, address)
    await exchange(pool, address)
    assert pool.opened_count == 2


async def test_a_connection_keeps_a_bounded_number_of_refused_ids(nursery):
    address = await serve(nursery, [RESPONSE], [RESPONSE])
    pool = client.Pool(tcp_keepalive=False)
    connection = await client.acquire(pool, address, 5_000.0)
    await client.send(connection, REQUEST)
    await client.receive(connection)
    connection.refused_ids.update(map(str, range(40)))
    client.release(pool, connection)
    assert not pool.idle.get(address)


REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Not-Run: 1\r\nId: old\r\nContent-Length: 0\r\n\r\n'
)
ANSWER = b'HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 2\r\n\r\nok'


@pytest.mark.parametrize('cut', range(len(REFUSAL) + 1))
async def test_a_cut_response_does_not_merge_with_the_next_one(nursery, cut):
    address = await serve(nursery, [RESPONSE, REFUSAL[:cut] + ANSWER])
    pool = client.Pool(tcp_keepalive=False)
    await exchange(pool, address)
    try:
        response = await exchange(pool, address)
    except client.ProtocolError:
        return
    ids = [value for name, value in response.headers if name == b'Id']
    assert (response.status, ids) in [(200, [b'new']), (503, [b'old'])]


@pytest.mark.parametrize('port', ['65536', '99999', '9' * 20, '-1', '', 'x'])
async def test_a_port_out_of_range_is_a_value_error(port):
    """Socket calls raise OverflowError, which ended the process."""
    with pytest.raises(ValueError):
        await sockets.connect(f'127.0.0.1:{port}', tcp_keepalive=False)
