"""Test the memory that the bodies of responses share."""

import functools

import pytest
import trio

from zinnialead_gateway.http import client
from zinnialead_gateway.http import memory as memories

REQUEST = client.Request(b'GET', b'/x', [(b'Host', b'a')], b'')
BYTES_MAX = 100_000


async def connect(nursery, memory, length, sent, pause_s=0.0):
    """Return a connection on which a response's body is received."""

    async def handle(stream):
        await stream.receive_some(65_536)
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % length
        await stream.send_all(head + bytes(sent))
        await trio.sleep(pause_s)

    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, handle, 0, host='127.0.0.1')
    )
    port = listeners[0].socket.getsockname()[1]
    pool = client.Pool(tcp_keepalive=False, memory=memory)
    connection = await client.acquire(pool, f'127.0.0.1:{port}', 5_000.0)
    await client.send(connection, REQUEST)
    return connection


async def test_a_received_body_takes_memory_until_it_is_released(nursery):
    memory = memories.Memory(BYTES_MAX)
    connection = await connect(nursery, memory, 50_000, 50_000)
    response = await client.receive(connection)
    assert memory.used_bytes == 50_000 - memories.UNCOUNTED_BYTES
    memories.release(memory, len(response.body))
    assert memory.used_bytes == 0


async def test_the_longest_body_is_abandoned_when_the_memory_is_used_up(
    nursery,
):
    memory = memories.Memory(BYTES_MAX)
    long = await connect(nursery, memory, 80_000, 70_000, pause_s=9.0)
    errors = []

    async def receive_long():
        with pytest.raises(client.ProtocolError) as caught:
            await client.receive(long)
        errors.append(str(caught.value))

    nursery.start_soon(receive_long)
    await trio.sleep(0.05)
    short = await connect(nursery, memory, 60_000, 60_000)
    assert len((await client.receive(short)).body) == 60_000
    await trio.sleep(0.05)
    assert errors == ['no memory is free for a body of over 70000 bytes']
    assert memory.used_bytes == 60_000 - memories.UNCOUNTED_BYTES
    nursery.cancel_scope.cancel()


async def test_usual_bodies_are_received_while_no_memory_is_free(nursery):
    memory = memories.Memory(0)
    usual = await connect(nursery, memory, 8_000, 8_000)
    assert len((await client.receive(usual)).body) == 8_000
    long = await connect(nursery, memory, 80_000, 80_000)
    with pytest.raises(client.ProtocolError):
        await client.receive(long)
    assert memory.used_bytes == 0


async def test_a_truncated_or_cancelled_body_takes_no_memory(nursery):
    memory = memories.Memory(BYTES_MAX)
    truncated = await connect(nursery, memory, 50_000, 40_000)
    with pytest.raises(client.ProtocolError):
        await client.receive(truncated)
    slow = await connect(nursery, memory, 50_000, 40_000, pause_s=9.0)
    with trio.move_on_after(0.05):
        await client.receive(slow)
    assert memory.used_bytes == 0
    nursery.cancel_scope.cancel()
