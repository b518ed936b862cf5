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

# A frame without content confirms that the acceptor reads.
CONFIRMATION = bytes(const.LENGTH_BYTES)


async def serve(peers: models.Peers, stream: trio.SocketStream) -> None:
    """Take in one peer's frames until its connection ends."""
    counters = peers.engine.world.counters
    if peers.accepted >= const.ACCEPTED_MAX:
        counters['peers.accept_refused'] += 1
        await stream.aclose()
        return
    peers.accepted += 1
    received = [trio.Event()]
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_confirm, stream, received)
            await _read(peers, stream, received)
            nursery.cancel_scope.cancel()
    finally:
        peers.accepted -= 1
        await trio.aclose_forcefully(stream)


async def _read(
    peers: models.Peers,
    stream: trio.SocketStream,
    received: list[trio.Event],
) -> None:
    buffer = bytearray()
    bad = 0
    while bad <= const.BAD_FRAMES_MAX:
        chunk = await _chunk(stream)
        if not chunk:
            return
        received[0].set()
        buffer += chunk
        if _oversized(buffer):
            peers.engine.world.counters['peers.frames_oversized'] += 1
            return
        found = [_open(peers, frame) for frame in _cut(buffer)]
        bad += found.count(None)
        items = [x for x in map(_item, filter(None, found)) if x]
        if items:
            engines.feed(peers.engine, *items)


async def _chunk(stream: trio.SocketStream) -> bytes:
    try:
        with trio.move_on_after(const.IDLE_ACCEPTED_S):
            return bytes(await stream.receive_some(const.READ_BYTES))
    except trio.BrokenResourceError:
        pass
    return b''


async def _confirm(
    stream: trio.SocketStream, received: list[trio.Event]
) -> None:
    """Confirm what was read, at most once in a period."""
    while True:
        await received[0].wait()
        received[0] = trio.Event()
        try:
            await stream.send_all(CONFIRMATION)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        await trio.sleep(const.CONFIRM_PERIOD_S)


def _oversized(buffer: bytearray) -> bool:
    if len(buffer) < const.LENGTH_BYTES:
        return False
    prefix = bytes(buffer[: const.LENGTH_BYTES])
    return frames.length(prefix) > const.FRAME_MAX_BYTES


def _cut(buffer: bytearray) -> abc.Iterator[bytes]:
    """Take the whole frames out of a buffer."""
    while len(buffer) >= const.LENGTH_BYTES:
        length = frames.length(bytes(buffer[: const.LENGTH_BYTES]))
        end = const.LENGTH_BYTES + length
        if length > const.FRAME_MAX_BYTES or len(buffer) < end:
            return
        frame = bytes(buffer[const.LENGTH_BYTES : end])
        del buffer[:end]
        yield frame


def _open(peers: models.Peers, frame: bytes) -> codec.Envelope | None:
    engine = peers.engine
    me = engine.world.node.ref.entry
    found = codec.decode(peers.keyring, me, engine.now_ms(), frame)
    if found.is_ok():
        return found.ok
    engine.world.counters[_counter(found.error)] += 1
    return None


def _counter(error: codec.FrameError) -> str:
    match error:
        case codec.Malformed():
            return 'peers.frames_malformed'
        case codec.UnknownVersion():
            return 'peers.frames_unknown_version'
        case codec.UnknownKind():
            return 'peers.frames_unknown_kind'
        case codec.Foreign():
            return 'peers.frames_foreign'
        case codec.Replayed():
            return 'peers.frames_replayed'


def _item(envelope: codec.Envelope) -> inp.PeerMessage | None:
    match envelope.message:
        case codec.Keepalive():
            return None
        case message:
            return inp.PeerMessage(envelope.sender, message)


def handler(
    peers: models.Peers,
) -> abc.Callable[[trio.SocketStream], abc.Awaitable[None]]:
    """Return what serves an accepted connection."""
    return functools.partial(serve, peers)
