"""Exchange heartbeats, and what entries know of the store's objects."""

from collections import abc
import dataclasses
import functools
import struct

import trio

from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import peer_sync
from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import sockets
from zinnialead_gateway.peers import codec

# The next heartbeat asks another entry.
EXCHANGE_TIMEOUT_S = 0.8
LENGTH = struct.Struct('!I')
BROKEN = (
    OSError,
    ValueError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)


@dataclasses.dataclass(slots=True)
class Peers:
    """Hold the socket that heartbeats and changes go through."""

    engine: engines.Engine
    nursery: trio.Nursery
    socket: trio.socket.SocketType


async def set_up(
    engine: engines.Engine,
    nursery: trio.Nursery,
    bind: str,
    asked_at: abc.Sequence[str],
) -> Peers:
    """Return peers that hear beats at ``bind`` and are asked at others."""
    sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    await sock.bind(sockets.parse_address(bind))
    peers = Peers(engine, nursery, sock)
    nursery.start_soon(_hear, peers)
    for address in asked_at:
        listener = await sockets.listen(address)
        answer = functools.partial(_answer, peers)
        nursery.start_soon(trio.serve_listeners, answer, [listener])
    return peers


def unload(peers: Peers) -> None:
    """Close the socket."""
    peers.socket.close()


def send(peers: Peers, output: out.SendHeartbeat) -> None:
    """Send a heartbeat; one that can't be sent is counted."""
    data = codec.encode_beat(output.heartbeat)
    peers.nursery.start_soon(_send, peers, output.addresses, data)


def tell(peers: Peers, output: out.SendChanges) -> None:
    """Send changes; those too large for a datagram are asked for later."""
    try:
        data = codec.encode_told(output.changes)
    except ValueError:
        peers.engine.world.counters['peers.too_large'] += 1
        return
    peers.nursery.start_soon(_send, peers, output.addresses, data)


def ask(peers: Peers, output: out.RequestSnapshots) -> None:
    """Ask another entry what it knows; never wait for it."""
    peers.nursery.start_soon(_ask, peers, output)


async def _send(
    peers: Peers, addresses: abc.Sequence[str], data: bytes
) -> None:
    for address in addresses:
        try:
            await peers.socket.sendto(data, sockets.parse_address(address))
        except (OSError, ValueError):
            peers.engine.world.counters['peers.unsent'] += 1


async def _hear(peers: Peers) -> None:
    """Feed what other entries send to the core for good."""
    size = codec.DATAGRAM_BYTES_MAX + 1
    while True:
        try:
            data, _ = await peers.socket.recvfrom(size)
            item = codec.decode_datagram(data)
        except trio.ClosedResourceError:
            return
        except ValueError:
            peers.engine.world.counters['peers.malformed'] += 1
            continue
        except OSError:
            # A peer's port without a listener shows as a refused datagram.
            peers.engine.world.counters['peers.receive_failed'] += 1
            continue
        engines.feed(peers.engine, item)


async def _ask(peers: Peers, output: out.RequestSnapshots) -> None:
    try:
        with trio.fail_after(EXCHANGE_TIMEOUT_S):
            stream = await sockets.connect(output.address, tcp_keepalive=False)
            async with stream:
                await _write(stream, codec.encode_ask(output.kinds))
                heard = codec.decode_answer(await _read(stream))
    except BROKEN:
        peers.engine.world.counters['peers.asks_failed'] += 1
        return
    engines.feed(peers.engine, *heard)


async def _answer(peers: Peers, stream: trio.SocketStream) -> None:
    world = peers.engine.world
    try:
        with trio.fail_after(EXCHANGE_TIMEOUT_S):
            kinds = codec.decode_ask(await _read(stream))
            now_ms = engines.now_ms()
            known = [peer_sync.snapshot(world, now_ms, kind) for kind in kinds]
            told = [item for item in known if item is not None]
            source = str(world.node.ref.entry)
            await _write(stream, codec.encode_answer(source, told))
            world.counters['peers.asks_answered'] += 1
    except BROKEN:
        world.counters['peers.answers_failed'] += 1


async def _write(stream: trio.SocketStream, data: bytes) -> None:
    await stream.send_all(LENGTH.pack(len(data)) + data)


async def _read(stream: trio.SocketStream) -> bytes:
    (size,) = LENGTH.unpack(await _exactly(stream, LENGTH.size))
    if size > codec.FRAME_BYTES_MAX:
        raise ValueError(f'a frame of {size} bytes')
    return await _exactly(stream, size)


async def _exactly(stream: trio.SocketStream, size: int) -> bytes:
    data = bytearray()
    while len(data) < size:
        part = await stream.receive_some(size - len(data))
        if not part:
            raise ValueError('the peer closed the connection early')
        data += part
    return bytes(data)
