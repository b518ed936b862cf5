"""Accept peers' connections and feed their messages to the core."""

from collections import abc
import functools

import trio

from zinnialead_core import inputs as inp
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon.components.peers import codec
from zinnialead_daemon.components.peers.codec import frames
from zinnialead_daemon.components.peers import const
from zinnialead_daemon.components.peers import models

# An empty frame confirms that the acceptor has read data.
CONFIRMATION = bytes(const.LENGTH_BYTES)


async def serve(peers: models.Peers, stream: trio.SocketStream) -> None:
    """Process a peer's frames until its connection ends."""
    connections_full = peers.accepted >= const.ACCEPTED_MAX
    if connections_full or peers.unauthenticated >= const.UNAUTHENTICATED_MAX:
        peers.engine.world.counters['peers.accept_refused'] += 1
        await trio.aclose_forcefully(stream)
        return
    connection = models.AcceptedConnection(stream, trio.Event(), bytearray())
    peers.accepted += 1
    peers.unauthenticated += 1
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_confirm, connection)
            await _read(peers, connection)
            nursery.cancel_scope.cancel()
    finally:
        peers.accepted -= 1
        peers.unauthenticated -= connection.is_unauthenticated
        await trio.aclose_forcefully(stream)


async def _read(
    peers: models.Peers, connection: models.AcceptedConnection
) -> None:
    deadline_s = trio.current_time() + const.AUTHENTICATION_TIMEOUT_S
    while connection.bad_frames <= const.BAD_FRAMES_MAX:
        if not connection.is_unauthenticated:
            deadline_s = trio.current_time() + const.ACCEPTED_IDLE_TIMEOUT_S
        chunk = await _receive_chunk(connection.stream, deadline_s)
        if not chunk:
            return
        connection.data_received.set()
        connection.buffer += chunk
        if _is_oversized(connection):
            peers.engine.world.counters['peers.frames_oversized'] += 1
            return
        _process_frames(peers, connection)


def _process_frames(
    peers: models.Peers, connection: models.AcceptedConnection
) -> None:
    """Feed all complete frames of a buffer to the core in one tick."""
    decoded = [
        _decode_frame(peers, frame)
        for frame in _take_frames(connection.buffer)
    ]
    envelopes = [envelope for envelope in decoded if envelope is not None]
    connection.bad_frames += len(decoded) - len(envelopes)
    if envelopes and connection.is_unauthenticated:
        connection.is_unauthenticated = False
        peers.unauthenticated -= 1
    if envelopes:
        messages = (
            inp.PeerMessage(valid.sender, valid.message) for valid in envelopes
        )
        engines.feed(peers.engine, *messages)


async def _receive_chunk(
    stream: trio.SocketStream, deadline_s: float
) -> bytes:
    try:
        with trio.move_on_at(deadline_s):
            return bytes(await stream.receive_some(const.READ_BYTES))
    except trio.BrokenResourceError:
        pass
    return b''


async def _confirm(connection: models.AcceptedConnection) -> None:
    """Confirm received data, at most once per period."""
    while True:
        await connection.data_received.wait()
        connection.data_received = trio.Event()
        try:
            await connection.stream.send_all(CONFIRMATION)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        await trio.sleep(const.CONFIRM_PERIOD_S)


def _is_oversized(connection: models.AcceptedConnection) -> bool:
    """Return whether the first frame of a buffer exceeds the size limit."""
    if len(connection.buffer) < const.LENGTH_BYTES:
        return False
    prefix = bytes(connection.buffer[: const.LENGTH_BYTES])
    if connection.is_unauthenticated:
        return frames.length(prefix) > const.UNAUTHENTICATED_FRAME_MAX_BYTES
    return frames.length(prefix) > const.FRAME_MAX_BYTES


def _take_frames(buffer: bytearray) -> abc.Iterator[bytes]:
    """Remove and yield the complete frames at the start of a buffer."""
    while len(buffer) >= const.LENGTH_BYTES:
        length = frames.length(bytes(buffer[: const.LENGTH_BYTES]))
        end = const.LENGTH_BYTES + length
        if length > const.FRAME_MAX_BYTES or len(buffer) < end:
            return
        frame = bytes(buffer[const.LENGTH_BYTES : end])
        del buffer[:end]
        yield frame


def _decode_frame(peers: models.Peers, frame: bytes) -> codec.Envelope | None:
    engine = peers.engine
    recipient = engine.world.node.ref.entry
    result = codec.decode(peers.keyring, recipient, engine.now_ms(), frame)
    if result.is_ok():
        return result.ok
    engine.world.counters[_counter_name(result.error)] += 1
    return None


def _counter_name(error: codec.FrameError) -> str:
    match error:
        case codec.Malformed():
            return 'peers.frames_malformed'
        case codec.UnknownVersion():
            return 'peers.frames_unknown_version'
        case codec.UnknownKind():
            return 'peers.frames_unknown_kind'
        case codec.InvalidSignature():
            return 'peers.frames_foreign'
        case codec.Replayed():
            return 'peers.frames_replayed'


def connection_handler(
    peers: models.Peers,
) -> abc.Callable[[trio.SocketStream], abc.Awaitable[None]]:
    """Return the handler of accepted connections."""
    return functools.partial(serve, peers)
