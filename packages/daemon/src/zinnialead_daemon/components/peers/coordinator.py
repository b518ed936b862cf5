"""Listen for peers and queue messages to them."""

import collections
from collections import abc

import trio

from zinnialead_config.settings import models as settings
from zinnialead_core import outputs as out
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.peers import acceptor
from zinnialead_daemon.components.peers import addresses
from zinnialead_daemon.components.peers import codec
from zinnialead_daemon.components.peers import const
from zinnialead_daemon.components.peers import links
from zinnialead_daemon.components.peers import models


async def set_up(
    engine: engine_models.Engine,
    nursery: trio.Nursery,
    bind: str,
    keys: abc.Iterable[settings.PeerKey],
) -> models.Peers:
    """Listen for peers at ``bind``; open no links yet."""
    peers = models.Peers(engine, codec.new_keyring(keys), nursery, {})
    host, port = addresses.parse(bind)
    listeners = await trio.open_tcp_listeners(port, host=host)
    socket_name = listeners[0].socket.getsockname()
    peers.address = addresses.format_address(socket_name[0], socket_name[1])
    nursery.start_soon(
        trio.serve_listeners, acceptor.connection_handler(peers), listeners
    )
    return peers


def rotate_keys(
    peers: models.Peers, keys: abc.Iterable[settings.PeerKey]
) -> None:
    """Sign with the first of ``keys`` from now on and accept them all."""
    peers.keyring.keys = codec.new_keyring(keys).keys


def send(peers: models.Peers, output: out.SendPeer) -> None:
    """Queue a message in its peer's outbox, without blocking.

    A full outbox drops its oldest message.
    """
    counters = peers.engine.world.counters
    if output.entry not in peers.engine.world.members:
        counters['peers.unknown_recipient'] += 1
        return
    link = peers.links.get(output.entry) or _new_link(peers, output)
    if link is None:
        counters['peers.links_full'] += 1
        return
    if len(link.outbox) == const.OUTBOX_MAX:
        counters['peers.dropped_full'] += 1
    now_ms = peers.engine.now_ms()
    link.outbox.append(models.OutboxRow(now_ms, output.message))
    link.message_queued.set()


async def unload(peers: models.Peers) -> None:
    """Wait up to a time limit for the outboxes to be sent."""
    if not any(link.outbox for link in peers.links.values()):
        return
    peers.outboxes_empty = trio.Event()
    with trio.move_on_after(const.FLUSH_TIMEOUT_S):
        await peers.outboxes_empty.wait()


def _new_link(peers: models.Peers, output: out.SendPeer) -> models.Link | None:
    if len(peers.links) >= const.LINKS_MAX:
        return None
    link = models.Link(
        entry=output.entry,
        # Higher than every number of an earlier link to this peer: the
        # clock never goes back and no link sends a frame each microsecond.
        sequence=int(peers.engine.now_ms() * const.MS_PER_S),
        outbox=collections.deque(maxlen=const.OUTBOX_MAX),
        message_queued=trio.Event(),
    )
    peers.links[output.entry] = link
    peers.nursery.start_soon(links.run, peers, link)
    return link
