"""Test the HTTP client against responses that never end."""

import functools

import pytest
import trio

import endless
from zinnialead_gateway.http import client

REQUEST = client.Request(b'GET', b'/x', [(b'Host', b'a')], b'')
# Less than the time that callers give their requests.
TIME_LIMIT_S = 1.0


async def connect(nursery, handle):
    """Return a client's connection to a server."""
    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, handle, 0, host='127.0.0.1')
    )
    port = listeners[0].socket.getsockname()[1]
    pool = client.Pool(tcp_keepalive=False)
    return await client.acquire(pool, f'127.0.0.1:{port}', 5_000.0)


@pytest.mark.parametrize('kind', endless.ENDLESS)
async def test_an_endless_response_is_abandoned(nursery, kind):
    async def handle(stream):
        await stream.receive_some(65_536)
        await endless.write(stream, endless.ENDLESS[kind])

    connection = await connect(nursery, handle)
    await client.send(connection, REQUEST)
    with trio.fail_after(TIME_LIMIT_S), pytest.raises(client.ProtocolError):
        await client.receive(connection)
    client.close(connection)
    nursery.cancel_scope.cancel()


CHUNK = b'400\r\n' + b'a' * 1_024 + b'\r\n'
LONG = {
    'chunks': endless.CHUNKED + CHUNK * 1_000 + b'0\r\n\r\n',
    'short chunks': endless.CHUNKED + b'5\r\nabcde\r\n' * 999 + b'0\r\n\r\n',
    'interim responses': b'HTTP/1.1 102 Processing\r\n\r\n' * 9
    + b'HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n'
    + b'a' * 8_000_000,
}


@pytest.mark.parametrize('kind', LONG)
async def test_a_long_response_that_ends_is_received(nursery, kind):
    async def handle(stream):
        await stream.receive_some(65_536)
        await stream.send_all(LONG[kind])

    connection = await connect(nursery, handle)
    await client.send(connection, REQUEST)
    assert (await client.receive(connection)).status == 200
    nursery.cancel_scope.cancel()


async def test_a_response_that_comes_byte_by_byte_is_received(nursery):
    async def handle(stream):
        await stream.receive_some(65_536)
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n'
        for byte in head + bytes(2_000):
            await stream.send_all(bytes([byte]))
            await trio.lowlevel.checkpoint()

    connection = await connect(nursery, handle)
    await client.send(connection, REQUEST)
    assert (await client.receive(connection)).body == bytes(2_000)
    nursery.cancel_scope.cancel()
