"""Pass connections on, and note those that nobody takes."""

import contextlib
import socket

import pytest
import trio

from soak import models
from soak import proxy as proxies


async def connect(proxy):
    host, _, port = proxy.address.rpartition(':')
    return await trio.open_tcp_stream(host, int(port))


async def echo(stream):
    with contextlib.suppress(trio.BrokenResourceError):
        while data := await stream.receive_some(100):
            await stream.send_all(data)


@pytest.fixture
async def made(nursery):
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(trio.serve_listeners, echo, listeners)
    return await proxies.start(nursery, f'127.0.0.1:{port}')


async def test_a_connection_that_nobody_takes_is_noted(nursery):
    """Soak, seed 142: its request was taken for a lost one."""
    with socket.socket() as held:
        held.bind(('127.0.0.1', 0))
        proxy = await proxies.start(
            nursery, f'127.0.0.1:{held.getsockname()[1]}'
        )
        stream = await connect(proxy)
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some(1)
        assert stream.socket.getsockname() in proxy.refused


async def test_what_is_clear_passes_both_ways(made):
    stream = await connect(made)
    await stream.send_all(b'x')
    assert await stream.receive_some(1) == b'x'
    assert not made.refused


@pytest.mark.parametrize('condition', [models.Silent(), models.OneWay()])
async def test_a_connection_that_lost_a_byte_stays_silent(made, condition):
    stream = await connect(made)
    proxies.harm(made, condition)
    await stream.send_all(b'x')
    await trio.sleep(0.05)
    proxies.harm(made, models.Clear())
    await stream.send_all(b'y')
    with trio.move_on_after(0.1) as scope:
        await stream.receive_some(1)
    assert scope.cancelled_caught


async def test_a_reset_ends_what_is_open_and_what_comes(made):
    stream = await connect(made)
    await stream.send_all(b'x')
    assert await stream.receive_some(1) == b'x'
    proxies.harm(made, models.Reset())
    with pytest.raises(trio.BrokenResourceError):
        await stream.receive_some(1)
