"""Test a complete entry against peers whose snapshots never end."""

import functools
import struct

import pytest
import trio

from adapter import deployments
from adapter import fakes
from adapter import raw_upstreams as raw
import endless
from zinnialead_standins import store as stores

FRAME_BYTES = 4_194_304


def frame_of(size):
    return struct.pack('!I', size)


FLOODS = {
    'too long': endless.Endless(frame_of(2**32 - 1), b'a' * 65_536),
    'too long by one': endless.Endless(
        frame_of(FRAME_BYTES + 1), b'a' * 65_536
    ),
    'longest': endless.Endless(frame_of(FRAME_BYTES), b'a' * 65_536),
    'empty': endless.Endless(frame_of(0), b'a' * 65_536),
    'short': endless.Endless(frame_of(100), b'a' * 65_536),
    'zeros': endless.Endless(b'', bytes(65_536)),
}


async def serve_flood(nursery, flood, drip=False):
    """Serve endless snapshots; return the address and the end of one."""
    ended = trio.Event()

    async def handle(stream):
        await endless.write(stream, flood, drip)
        ended.set()

    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, handle, 0, host='127.0.0.1')
    )
    return f'127.0.0.1:{listeners[0].socket.getsockname()[1]}', ended


@pytest.mark.parametrize(
    ('kind', 'drip'),
    [('too long', False), ('longest', False), ('longest', True)],
)
async def test_an_entry_starts_beside_a_seed_that_answers_without_end(
    nursery, kind, drip
):
    seed, ended = await serve_flood(nursery, FLOODS[kind], drip)
    store = stores.new_store()
    stores.put(store, 'config', 'main', deployments.configuration())
    upstream = fakes.FakeUpstream('i-0')
    address = await fakes.serve_upstream(nursery, upstream)
    registration = deployments.registration(address)
    stores.put(store, 'servers', 'i-0', registration)
    stores.set_condition(store, stores.Down())
    address = await fakes.serve_store(nursery, store)
    settings = await deployments.entry(nursery, address, 'edge-2', f'"{seed}"')
    with trio.fail_after(3.0):
        await ended.wait()
    stores.set_condition(store, stores.Up())
    await deployments.until_ready(settings)
    assert (await deployments.ask(settings.front_bind)).status == 200


@pytest.mark.parametrize('kind', FLOODS)
async def test_a_peer_that_asks_without_end_is_closed_at_once(nursery, kind):
    _, _, settings, _ = await raw.deploy(nursery, raw.run)
    host, _, port = settings.snapshot_binds[0].partition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    with trio.fail_after(0.3):
        await endless.write(stream, FLOODS[kind])
    assert (await deployments.ask(settings.front_bind)).status == 200


async def test_an_unfinished_request_for_snapshots_takes_little_memory(
    nursery,
):
    _, _, settings, _ = await raw.deploy(nursery, raw.run)
    host, _, port = settings.snapshot_binds[0].partition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    with trio.fail_after(0.3), pytest.raises(trio.BrokenResourceError):
        await stream.send_all(frame_of(FRAME_BYTES))
        for _ in range(FRAME_BYTES // 65_536 - 1):
            await stream.send_all(b'a' * 65_536)
            await trio.sleep(0.001)
        await stream.receive_some(1)
