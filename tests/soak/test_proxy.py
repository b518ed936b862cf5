"""Test the proxy: forwarding, impairments and refused connections."""

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
async def proxy(nursery):
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(trio.serve_listeners, echo, listeners)
    return await proxies.start(nursery, f'127.0.0.1:{port}')


async def test_a_refused_connection_is_recorded(nursery):
    """Soak, seed 142: a request on such a connection counted as lost."""
    with socket.socket() as reserved:
        reserved.bind(('127.0.0.1', 0))
        proxy = await proxies.start(
            nursery, f'127.0.0.1:{reserved.getsockname()[1]}'
        )
        stream = await connect(proxy)
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some(1)
        assert stream.socket.getsockname() in proxy.refused_peers


async def test_a_clear_proxy_forwards_both_ways(proxy):
    stream = await connect(proxy)
    await stream.send_all(b'x')
    assert await stream.receive_some(1) == b'x'
    assert not proxy.refused_peers


@pytest.mark.parametrize('condition', [models.Silent(), models.OneWay()])
async def test_a_connection_that_lost_a_byte_stays_silent(proxy, condition):
    stream = await connect(proxy)
    proxies.set_condition(proxy, condition)
    await stream.send_all(b'x')
    await trio.sleep(0.05)
    proxies.set_condition(proxy, models.Clear())
    await stream.send_all(b'y')
    with trio.move_on_after(0.1) as scope:
        await stream.receive_some(1)
    assert scope.cancelled_caught


async def test_a_reset_closes_open_and_new_connections(proxy):
    stream = await connect(proxy)
    await stream.send_all(b'x')
    assert await stream.receive_some(1) == b'x'
    proxies.set_condition(proxy, models.Reset())
    with pytest.raises(trio.BrokenResourceError):
        await stream.receive_some(1)
