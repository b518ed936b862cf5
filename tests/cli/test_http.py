"""Test the calls of the command line against responses without end."""

import functools

import pytest
import trio

import endless
from zinnialead_cli.clients import http
from zinnialead_cli import const

BODIES = ('long body', 'body without length', 'chunks', 'tiny chunks')


@pytest.mark.parametrize('kind', BODIES)
async def test_a_body_without_end_is_abandoned(nursery, kind, monkeypatch):
    """A call kept all that came until no memory was left."""
    monkeypatch.setattr(const, 'BODY_BYTES_MAX', 100_000)

    async def handle(stream):
        await stream.receive_some(65_536)
        await endless.write(stream, endless.ENDLESS[kind])

    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, handle, 0, host='127.0.0.1')
    )
    port = listeners[0].socket.getsockname()[1]
    url = f'http://127.0.0.1:{port}/v1/state'
    with trio.fail_after(5.0):
        result = await trio.to_thread.run_sync(
            http.call, 'GET', url, abandon_on_cancel=True
        )
    assert 'body of over 100000 bytes' in result.error
    nursery.cancel_scope.cancel()


async def test_a_body_that_drips_is_abandoned(nursery, monkeypatch):
    """Each part came in time, so that the call never ended."""
    monkeypatch.setattr(const, 'BODY_TIMEOUT_MS', 300.0)

    async def handle(stream):
        await stream.receive_some(65_536)
        await endless.write(stream, endless.ENDLESS['long body'], drip=True)

    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, handle, 0, host='127.0.0.1')
    )
    port = listeners[0].socket.getsockname()[1]
    with trio.fail_after(5.0):
        result = await trio.to_thread.run_sync(
            http.call,
            'GET',
            f'http://127.0.0.1:{port}/',
            abandon_on_cancel=True,
        )
    assert 'body over 300 ms' in result.error
    nursery.cancel_scope.cancel()
