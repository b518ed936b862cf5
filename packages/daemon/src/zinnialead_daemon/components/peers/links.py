"""Send what waits for a peer over one connection that is watched."""

from collections import abc
import random
import typing

import capnp
import trio

from zinnialead_core.components import members
from zinnialead_core import messages
from zinnialead_daemon.components.peers import addresses
from zinnialead_daemon.components.peers import codec
from zinnialead_daemon.components.peers import const
from zinnialead_daemon.components.peers import models


async def run(peers: models.Peers, link: models.Link) -> None:
    """Keep a link while it is used, and connect again when it breaks."""
    backoff_s = const.BACKOFF_MIN_S
    while await _filled(link):
        stream = await _connect(peers, link)
        if stream is None:
            await trio.sleep(random.uniform(0.0, backoff_s))
            backoff_s = min(2 * backoff_s, const.BACKOFF_MAX_S)
            _drop_old(peers, link)
            continue
        backoff_s = const.BACKOFF_MIN_S
        try:
            await _use(peers, link, stream)
        finally:
            link.connected = False
            link.outstanding_s = None
            await trio.aclose_forcefully(stream)
    del peers.links[link.entry]


async def _filled(link: models.Link) -> bool:
    """Wait for something to send; say whether it came in time."""
    if link.outbox:
        return True
    link.filled = trio.Event()
    with trio.move_on_after(const.IDLE_LINK_S):
        await link.filled.wait()
    return bool(link.outbox)


async def _connect(
    peers: models.Peers, link: models.Link
) -> trio.SocketStream | None:
    row = peers.engine.world.members.get(link.entry)
    if row is None:
        link.outbox.clear()
        return None
    link.address = row.address
    try:
        host, port = addresses.parse(row.address)
        with trio.fail_after(const.CONNECT_TIMEOUT_S):
            stream = await trio.open_tcp_stream(host, port)
    except (OSError, ValueError, trio.TooSlowError):
        peers.engine.world.counters['peers.connect_failed'] += 1
        return None
    peers.engine.world.counters['peers.connected'] += 1
    link.connected = True
    _introduce(peers, link)
    return stream


def _introduce(peers: models.Peers, link: models.Link) -> None:
    """Tell the peer first where its answers go, which it may not know."""
    world = peers.engine.world
    own = world.members.get(world.node.ref.entry)
    if own is None:
        return
    if len(link.outbox) == const.OUTBOX_MAX:
        link.outbox.popleft()
        world.counters['peers.dropped_full'] += 1
    news = members.News((own,))
    row = models.OutboxRow(peers.engine.now_ms(), news)
    link.outbox.appendleft(row)


async def _use(
    peers: models.Peers, link: models.Link, stream: trio.SocketStream
) -> None:
    """Write, hear confirmations and watch for silence, until one ends."""
    async with trio.open_nursery() as nursery:
        for part in (_write, _hear, _watch):
            nursery.start_soon(
                _until_broken, part, nursery.cancel_scope, peers, link, stream
            )


Part = abc.Callable[
    [models.Peers, models.Link, trio.SocketStream], abc.Awaitable[None]
]


async def _until_broken(
    part: Part,
    scope: trio.CancelScope,
    peers: models.Peers,
    link: models.Link,
    stream: trio.SocketStream,
) -> None:
    try:
        await part(peers, link, stream)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        peers.engine.world.counters['peers.links_broken'] += 1
    scope.cancel()


async def _write(
    peers: models.Peers, link: models.Link, stream: trio.SocketStream
) -> None:
    while await _filled(link):
        row = peers.engine.world.members.get(link.entry)
        if row is None or row.address != link.address:
            return
        frames = b''.join(_frames(peers, link))
        if not frames:
            continue
        if link.outstanding_s is None:
            link.outstanding_s = trio.current_time()
        await stream.send_all(frames)
        _note_drained(peers)


async def _hear(
    peers: models.Peers, link: models.Link, stream: trio.SocketStream
) -> None:
    while await stream.receive_some(const.READ_BYTES):
        link.outstanding_s = None


async def _watch(
    peers: models.Peers, link: models.Link, stream: trio.SocketStream
) -> None:
    """Return when data was outstanding for too long.

    It sleeps until the earliest time at which that may be so.
    """
    while True:
        since_s = link.outstanding_s
        now_s = trio.current_time()
        if since_s is None:
            await trio.sleep(const.SILENCE_MAX_S)
            continue
        left_s = since_s + const.SILENCE_MAX_S - now_s
        if left_s <= 0:
            peers.engine.world.counters['peers.links_silent'] += 1
            return
        await trio.sleep(left_s)


def _frames(peers: models.Peers, link: models.Link) -> abc.Iterator[bytes]:
    """Take a batch out of the outbox and yield its frames."""
    _drop_old(peers, link)
    for _ in range(min(len(link.outbox), const.BATCH_MAX)):
        frame = _frame(peers, link, link.outbox.popleft())
        if len(frame) <= const.FRAME_MAX_BYTES:
            yield frame
            continue
        peers.engine.world.counters['peers.too_large'] += 1


def _frame(
    peers: models.Peers, link: models.Link, row: models.OutboxRow
) -> bytes:
    """Return one message's frame, empty if the schema can't hold it."""
    link.sequence += 1
    envelope = codec.Envelope(
        peers.engine.world.node.ref,
        link.sequence,
        peers.engine.now_ms(),
        typing.cast('messages.Message', row.message),
    )
    try:
        return codec.encode(peers.keyring, link.entry, envelope)
    except (capnp.KjException, OverflowError, TypeError, ValueError):
        peers.engine.world.counters['peers.unencodable'] += 1
        return b''


def _note_drained(peers: models.Peers) -> None:
    if peers.drained is None:
        return
    if not any(link.outbox for link in peers.links.values()):
        peers.drained.set()


def _drop_old(peers: models.Peers, link: models.Link) -> None:
    oldest_ms = peers.engine.now_ms() - const.OUTBOX_AGE_MAX_MS
    while link.outbox and link.outbox[0].queued_ms < oldest_ms:
        link.outbox.popleft()
        peers.engine.world.counters['peers.dropped_old'] += 1
