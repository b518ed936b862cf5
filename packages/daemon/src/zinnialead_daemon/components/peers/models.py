"""Define the connections between this entry and its peers."""

import collections
import dataclasses
import typing

import trio

from zinnialead_core import ids
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.peers import codec


class OutboxRow(typing.NamedTuple):
    """Hold a message queued for a link."""

    queued_ms: float
    message: object


@dataclasses.dataclass(slots=True)
class Link:
    """Hold the outgoing connection to a peer, and its outbox.

    ``unconfirmed_since_s`` is the time of the first write that the peer
    has not confirmed, or None.
    """

    entry: ids.EntryId
    sequence: int
    outbox: collections.deque[OutboxRow]
    message_queued: trio.Event
    address: str = ''
    connected: bool = False
    unconfirmed_since_s: float | None = None


@dataclasses.dataclass(slots=True)
class AcceptedConnection:
    """Hold an accepted connection.

    ``data_received`` wakes the task that confirms received data.
    ``is_unauthenticated`` is cleared by the first correctly signed frame.
    """

    stream: trio.SocketStream
    data_received: trio.Event
    buffer: bytearray
    is_unauthenticated: bool = True
    bad_frames: int = 0


@dataclasses.dataclass(slots=True)
class Peers:
    """Hold the links by peer and count the accepted connections.

    ``unauthenticated`` counts those without a correctly signed frame so
    far; ``outboxes_empty`` is None unless a stop waits for that event.
    """

    engine: engine_models.Engine
    keyring: codec.Keyring
    nursery: trio.Nursery
    links: dict[ids.EntryId, Link]
    address: str = ''
    accepted: int = 0
    unauthenticated: int = 0
    outboxes_empty: trio.Event | None = None
