"""Define the HTTP client's messages, errors, connections and pools."""

import collections
from collections import abc
import dataclasses
import typing

import h11
import trio

from zinnialead_gateway.http import memory as memories

Headers = list[tuple[bytes, bytes]]


class Request(typing.NamedTuple):
    """Hold a request with its whole body."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class Response(typing.NamedTuple):
    """Hold a response with its whole body."""

    status: int
    headers: Headers
    body: bytes


class ResponseHead(typing.NamedTuple):
    """Hold a response's head; without a length it ends at close."""

    status: int
    headers: Headers
    has_length: bool


class ProtocolError(Exception):
    """Signal an unusable response; the request was sent."""


class UnsendableError(Exception):
    """Signal a request that can't be written; none of it was sent."""


class MalformedError(ProtocolError):
    """Signal bytes that are no response."""


class EndlessError(ProtocolError):
    """Signal a response that exceeds a limit."""


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """Hold a connection; ``last_used_ms`` is the end of its last exchange.

    ``sent`` is set once bytes of the current request may have been sent, and
    ``requests_sent`` counts the requests on this connection, the last one of
    ``method``. ``refused_ids`` are those of the requests refused on it, and
    ``has_strays`` is set by a response to an earlier request. The next three
    fields count what was received since the request, and ``turn_work`` what
    was parsed since the last turn, in events.
    """

    address: str
    stream: trio.SocketStream
    parser: h11.Connection
    pool: 'Pool'
    last_used_ms: float
    expires_ms: float = float('inf')
    sent: bool = False
    requests_sent: int = 0
    method: bytes = b''
    has_strays: bool = False
    received_bytes: int = 0
    body_bytes: int = 0
    event_count: int = 0
    turn_work: float = 0.0
    refused_ids: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Pool:
    """Hold idle connections by address, most recently used last.

    ``on_stray_bytes`` is called with the address of a connection that
    received bytes without a request, and ``on_early_end`` with that of one
    that ended before its keep-alive timeout. ``memory`` is for received
    bodies, and long responses are parsed in ``turns``.
    """

    tcp_keepalive: bool
    memory: memories.Memory = dataclasses.field(
        default_factory=memories.Memory
    )
    turns: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    on_stray_bytes: abc.Callable[[str], None] = lambda _: None
    on_early_end: abc.Callable[[str], None] = lambda _: None
    idle: dict[str, collections.deque[Connection]] = dataclasses.field(
        default_factory=dict
    )
    opened_count: int = 0
