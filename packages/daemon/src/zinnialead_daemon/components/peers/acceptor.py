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
    full = peers.accepted >= const.ACCEPTED_MAX
    if full or peers.strangers >= const.STRANGERS_MAX:
        peers.engine.world.counters['peers.accept_refused'] += 1
        await trio.aclose_forcefully(stream)
        return
    accepted = models.Accepted(stream, trio.Event(), bytearray())
    peers.accepted += 1
    peers.strangers += 1
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_confirm, accepted)
            await _read(peers, accepted)
            nursery.cancel_scope.cancel()
    finally:
        peers.accepted -= 1
        peers.strangers -= accepted.stranger
        await trio.aclose_forcefully(stream)


async def _read(peers: models.Peers, accepted: models.Accepted) -> None:
    give_up_s = trio.current_time() + const.STRANGER_S
    while accepted.bad_frames <= const.BAD_FRAMES_MAX:
        if not accepted.stranger:
            give_up_s = trio.current_time() + const.IDLE_ACCEPTED_S
        chunk = await _chunk(accepted.stream, give_up_s)
        if not chunk:
            return
        accepted.received.set()
        accepted.buffer += chunk
        if _oversized(accepted):
            peers.engine.world.counters['peers.frames_oversized'] += 1
            return
        _take_in(peers, accepted)


def _take_in(peers: models.Peers, accepted: models.Accepted) -> None:
    """Feed the whole frames of a buffer to the core in one tick."""
    found = [_open(peers, frame) for frame in _cut(accepted.buffer)]
    good = [envelope for envelope in found if envelope is not None]
    accepted.bad_frames += len(found) - len(good)
    if good and accepted.stranger:
        accepted.stranger = False
        peers.strangers -= 1
    if good:
        items = (inp.PeerMessage(x.sender, x.message) for x in good)
        engines.feed(peers.engine, *items)


async def _chunk(stream: trio.SocketStream, give_up_s: float) -> bytes:
    try:
        with trio.move_on_at(give_up_s):
            return bytes(await stream.receive_some(const.READ_BYTES))
    except trio.BrokenResourceError:
        pass
    return b''


async def _confirm(accepted: models.Accepted) -> None:
    """Confirm what was read, at most once in a period."""
    while True:
        await accepted.received.wait()
        accepted.received = trio.Event()
        try:
            await accepted.stream.send_all(CONFIRMATION)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        await trio.sleep(const.CONFIRM_PERIOD_S)


def _oversized(accepted: models.Accepted) -> bool:
    """Say whether the first frame of a buffer is above the bound."""
    if len(accepted.buffer) < const.LENGTH_BYTES:
        return False
    prefix = bytes(accepted.buffer[: const.LENGTH_BYTES])
    if accepted.stranger:
        return frames.length(prefix) > const.STRANGER_MAX_BYTES
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


def handler(
    peers: models.Peers,
) -> abc.Callable[[trio.SocketStream], abc.Awaitable[None]]:
    """Return what serves an accepted connection."""
    return functools.partial(serve, peers)
