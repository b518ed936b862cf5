"""Send queued messages to a peer over one supervised connection."""

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
    """Run a link until it is idle; reconnect with backoff if it breaks."""
    backoff_s = const.BACKOFF_MIN_S
    while await _wait_for_message(link):
        stream = await _connect(peers, link)
        if stream is None:
            await trio.sleep(random.uniform(0.0, backoff_s))
            backoff_s = min(2 * backoff_s, const.BACKOFF_MAX_S)
            _drop_expired(peers, link)
            continue
        backoff_s = const.BACKOFF_MIN_S
        try:
            await _run_link_tasks(peers, link, stream)
        finally:
            link.connected = False
            link.unconfirmed_since_s = None
            await trio.aclose_forcefully(stream)
    del peers.links[link.entry]


async def _wait_for_message(link: models.Link) -> bool:
    """Wait for a message to send; return whether there is one in time."""
    if link.outbox:
        return True
    link.message_queued = trio.Event()
    with trio.move_on_after(const.LINK_IDLE_TIMEOUT_S):
        await link.message_queued.wait()
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
    _queue_own_row(peers, link)
    return stream


def _queue_own_row(peers: models.Peers, link: models.Link) -> None:
    """Queue this entry's member row first.

    The peer needs the address in it to answer, and may not have it.
    """
    world = peers.engine.world
    own_row = world.members.get(world.node.ref.entry)
    if own_row is None:
        return
    if len(link.outbox) == const.OUTBOX_MAX:
        link.outbox.popleft()
        world.counters['peers.dropped_full'] += 1
    announcement = members.News((own_row,))
    row = models.OutboxRow(peers.engine.now_ms(), announcement)
    link.outbox.appendleft(row)


async def _run_link_tasks(
    peers: models.Peers, link: models.Link, stream: trio.SocketStream
) -> None:
    """Run the tasks of a connected link until one of them ends."""
    async with trio.open_nursery() as nursery:
        for task in (_write_frames, _read_confirmations, _watch_confirmations):
            nursery.start_soon(
                _run_until_broken,
                task,
                nursery.cancel_scope,
                peers,
                link,
                stream,
            )


LinkTask = abc.Callable[
    [models.Peers, models.Link, trio.SocketStream], abc.Awaitable[None]
]


async def _run_until_broken(
    task: LinkTask,
    scope: trio.CancelScope,
    peers: models.Peers,
    link: models.Link,
    stream: trio.SocketStream,
) -> None:
    try:
        await task(peers, link, stream)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        peers.engine.world.counters['peers.links_broken'] += 1
    scope.cancel()


async def _write_frames(
    peers: models.Peers, link: models.Link, stream: trio.SocketStream
) -> None:
    while await _wait_for_message(link):
        row = peers.engine.world.members.get(link.entry)
        if row is None or row.address != link.address:
            return
        frames = b''.join(_take_frames(peers, link))
        if not frames:
            continue
        if link.unconfirmed_since_s is None:
            link.unconfirmed_since_s = trio.current_time()
        await stream.send_all(frames)
        _signal_outboxes_empty(peers)


async def _read_confirmations(
    peers: models.Peers, link: models.Link, stream: trio.SocketStream
) -> None:
    while await stream.receive_some(const.READ_BYTES):
        link.unconfirmed_since_s = None


async def _watch_confirmations(
    peers: models.Peers, link: models.Link, stream: trio.SocketStream
) -> None:
    """Return when data has been unconfirmed for too long.

    Sleeps until the earliest time at which that can be the case.
    """
    while True:
        unconfirmed_since_s = link.unconfirmed_since_s
        now_s = trio.current_time()
        if unconfirmed_since_s is None:
            await trio.sleep(const.UNCONFIRMED_MAX_S)
            continue
        remaining_s = unconfirmed_since_s + const.UNCONFIRMED_MAX_S - now_s
        if remaining_s <= 0:
            peers.engine.world.counters['peers.links_silent'] += 1
            return
        await trio.sleep(remaining_s)


def _take_frames(
    peers: models.Peers, link: models.Link
) -> abc.Iterator[bytes]:
    """Remove a batch from the outbox and yield its frames."""
    _drop_expired(peers, link)
    for _ in range(min(len(link.outbox), const.BATCH_MAX)):
        frame = _encode_frame(peers, link, link.outbox.popleft())
        if len(frame) <= const.FRAME_MAX_BYTES:
            yield frame
            continue
        peers.engine.world.counters['peers.too_large'] += 1


def _encode_frame(
    peers: models.Peers, link: models.Link, row: models.OutboxRow
) -> bytes:
    """Return the frame of a message, empty if it does not fit the schema."""
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


def _signal_outboxes_empty(peers: models.Peers) -> None:
    if peers.outboxes_empty is None:
        return
    if not any(link.outbox for link in peers.links.values()):
        peers.outboxes_empty.set()


def _drop_expired(peers: models.Peers, link: models.Link) -> None:
    oldest_ms = peers.engine.now_ms() - const.OUTBOX_AGE_MAX_MS
    while link.outbox and link.outbox[0].queued_ms < oldest_ms:
        link.outbox.popleft()
        peers.engine.world.counters['peers.dropped_old'] += 1
