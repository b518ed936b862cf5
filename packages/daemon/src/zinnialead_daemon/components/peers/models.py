"""Define the links between this entry and its peers."""

import collections
import dataclasses
import typing

import trio

from zinnialead_core import ids
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.peers import codec


class OutboxRow(typing.NamedTuple):
    """Hold one message that waits for its link."""

    queued_ms: float
    message: object


@dataclasses.dataclass(slots=True)
class Link:
    """Hold the connection to one peer, and what waits for it.

    ``outstanding_s`` is when data was first written that the peer has not
    confirmed, or None.
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
    """Hold one accepted connection; ``received`` wakes its confirmations."""

    stream: trio.SocketStream
    data_received: trio.Event
    buffer: bytearray
    is_unauthenticated: bool = True
    bad_frames: int = 0


@dataclasses.dataclass(slots=True)
class Peers:
    """Hold the links by peer, and how many connections are accepted.

    ``strangers`` are those of them without a signed frame so far;
    ``drained`` is there while a stop waits for empty outboxes.
    """

    engine: engine_models.Engine
    keyring: codec.Keyring
    nursery: trio.Nursery
    links: dict[ids.EntryId, Link]
    address: str = ''
    accepted: int = 0
    unauthenticated: int = 0
    outboxes_empty: trio.Event | None = None
