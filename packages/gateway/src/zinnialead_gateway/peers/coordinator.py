"""Send and receive heartbeats, changes and snapshots of stored objects."""

from collections import abc
import dataclasses
import functools
import socket
import struct

import trio

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import snapshots
from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import sockets
from zinnialead_gateway.peers import codec

# After a timeout, the next heartbeat round queries another entry.
EXCHANGE_TIMEOUT_S = 0.8
LENGTH = struct.Struct('!I')
# Datagrams that arrive within this time after one are processed in one tick.
# Heartbeats are a second apart, and changes wait longer for a watch.
RECEIVE_PAUSE_S = 0.1
# The most datagrams of one tick; other tasks run before the next ones.
BATCH_MAX = 64
EXCHANGE_ERRORS = (
    OSError,
    ValueError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)


@dataclasses.dataclass(slots=True)
class Peers:
    """Hold the datagram socket for heartbeats and changes."""

    engine: engines.Engine
    nursery: trio.Nursery
    socket: socket.socket


async def set_up(
    engine: engines.Engine,
    nursery: trio.Nursery,
    bind: str,
    snapshot_binds: abc.Sequence[str],
) -> Peers:
    """Bind the sockets and start receiving.

    Heartbeats and changes arrive at ``bind``, snapshot requests at
    ``snapshot_binds``.
    """
    sock = socket.socket(type=socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(sockets.parse_address(bind))
    peers = Peers(engine, nursery, sock)
    nursery.start_soon(_receive, peers)
    for address in snapshot_binds:
        listener = await sockets.listen(address)
        handler = functools.partial(_serve_snapshots, peers)
        nursery.start_soon(trio.serve_listeners, handler, [listener])
    return peers


def unload(peers: Peers) -> None:
    """Close the datagram socket."""
    trio.lowlevel.notify_closing(peers.socket)
    peers.socket.close()


def send_heartbeat(peers: Peers, output: out.SendHeartbeat) -> None:
    """Send a heartbeat in the background; count failures."""
    data = codec.encode_heartbeat(output.heartbeat)
    peers.nursery.start_soon(_send, peers, output.addresses, data)


def send_changes(peers: Peers, output: out.SendChanges) -> None:
    """Send changes, unless they are too large for a datagram.

    Peers notice the gap and request a snapshot.
    """
    try:
        data = codec.encode_changes(output.changes)
    except ValueError:
        peers.engine.world.counters['peers.too_large'] += 1
        return
    peers.nursery.start_soon(_send, peers, output.addresses, data)


def request_snapshots(peers: Peers, output: out.RequestSnapshots) -> None:
    """Request snapshots from another entry in the background."""
    peers.nursery.start_soon(_fetch_snapshots, peers, output)


async def _send(
    peers: Peers, addresses: abc.Sequence[str], data: bytes
) -> None:
    """Send a datagram to each address, without a pause while there is room."""
    for address in addresses:
        try:
            target = sockets.parse_address(address)
            while not _try_send(peers.socket, target, data):
                await trio.lowlevel.wait_writable(peers.socket)
        except (OSError, ValueError):
            peers.engine.world.counters['peers.unsent'] += 1
        except trio.ClosedResourceError:
            return


def _try_send(
    sock: socket.socket, target: tuple[str, int], data: bytes
) -> bool:
    """Send a datagram; return False if the socket has no room for it."""
    try:
        sock.sendto(data, target)
    except BlockingIOError:
        return False
    return True


async def _receive(peers: Peers) -> None:
    """Feed received datagrams to the core until the socket closes."""
    while True:
        try:
            await trio.lowlevel.wait_readable(peers.socket)
        except trio.ClosedResourceError:
            return
        batch = list(_read_batch(peers))
        if batch:
            engines.feed(peers.engine, *batch)
        if len(batch) < BATCH_MAX:
            await trio.sleep(RECEIVE_PAUSE_S)


def _read_batch(
    peers: Peers,
) -> abc.Iterator[inp.HeartbeatReceived | inp.PeerChanges]:
    """Yield what the waiting datagrams hold; count those that hold nothing."""
    size = codec.DATAGRAM_BYTES_MAX + 1
    counters = peers.engine.world.counters
    for _ in range(BATCH_MAX):
        try:
            data = peers.socket.recv(size)
            yield codec.decode_datagram(data)
        except BlockingIOError:
            return
        except ValueError:
            counters['peers.malformed'] += 1
        except OSError:
            # An earlier datagram to a closed port is reported here.
            counters['peers.receive_failed'] += 1


async def _fetch_snapshots(peers: Peers, output: out.RequestSnapshots) -> None:
    received: list[inp.PeerSnapshot] = []
    request = snapshots.snapshot_request(peers.engine.world, output.kinds)
    try:
        with trio.fail_after(EXCHANGE_TIMEOUT_S):
            stream = await sockets.connect(output.address, tcp_keepalive=False)
            async with stream:
                await _write_frame(
                    stream, codec.encode_snapshot_request(request)
                )
                data = await _read_frame(stream, codec.FRAME_BYTES_MAX)
                received = codec.decode_snapshots(data)
    except EXCHANGE_ERRORS:
        peers.engine.world.counters['peers.asks_failed'] += 1
    done = inp.SnapshotRequestDone(output.address)
    engines.feed(peers.engine, *received, done)


async def _serve_snapshots(peers: Peers, stream: trio.SocketStream) -> None:
    world = peers.engine.world
    try:
        with trio.fail_after(EXCHANGE_TIMEOUT_S):
            data = await _read_frame(stream, codec.REQUEST_BYTES_MAX)
            request = codec.decode_snapshot_request(data)
            now_ms = engines.now_ms()
            found = list(snapshots.snapshots(world, now_ms, request))
            source = str(world.node.ref.entry)
            await _write_frame(stream, codec.encode_snapshots(source, found))
            world.counters['peers.asks_answered'] += 1
    except EXCHANGE_ERRORS:
        world.counters['peers.answers_failed'] += 1


async def _write_frame(stream: trio.SocketStream, data: bytes) -> None:
    await stream.send_all(LENGTH.pack(len(data)) + data)


async def _read_frame(stream: trio.SocketStream, bytes_max: int) -> bytes:
    (size,) = LENGTH.unpack(await _read_exactly(stream, LENGTH.size))
    if size > bytes_max:
        raise ValueError(f'a frame of {size} bytes')
    return await _read_exactly(stream, size)


async def _read_exactly(stream: trio.SocketStream, size: int) -> bytes:
    data = bytearray()
    while len(data) < size:
        part = await stream.receive_some(size - len(data))
        if not part:
            raise ValueError('the peer closed the connection early')
        data += part
    return bytes(data)
