"""Define the HTTP server's state, its requests and its responses."""

from collections import abc
import dataclasses
import typing

import h11
import trio

Headers = list[tuple[bytes, bytes]]


class Limits(typing.NamedTuple):
    """Hold the size and time limits of a caller's requests."""

    header_bytes_max: int
    body_bytes_max: int
    header_timeout_s: float
    idle_timeout_s: float


class Request(typing.NamedTuple):
    """Hold a caller's request and its body."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


def do_nothing() -> None:
    """Discard a response that holds nothing beside its body."""


class Response(typing.NamedTuple):
    """Hold a response; a handler returns None to abort the connection.

    ``discard`` is called once the response has been written or abandoned.
    """

    status: int
    headers: Headers
    body: bytes
    discard: abc.Callable[[], None] = do_nothing


@dataclasses.dataclass(slots=True)
class Caller:
    """Hold a caller's connection.

    ``on_disconnect`` is called once if the caller disconnects while its
    request is being handled; ``resume`` wakes a paused reader.  What arrives
    once the connection ``is_closing`` is discarded.
    """

    stream: trio.SocketStream
    parser: h11.Connection
    data_received: trio.Event
    closed: bool = False
    buffered_bytes: int = 0
    resume: trio.Event | None = None
    on_disconnect: abc.Callable[[], None] | None = None
    is_closing: bool = False


Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
Handle = abc.Callable[[Caller, Request], abc.Awaitable[Response | None]]


@dataclasses.dataclass(slots=True)
class Server:
    """Hold one port's handler, callbacks and usage counts.

    Long bodies are parsed in ``turns``.
    """

    handle: Handle
    limits: abc.Callable[[], Limits]
    connections_max: int
    count: abc.Callable[[str], None]
    refuse: abc.Callable[[int, str], Response]
    on_failure: abc.Callable[[BaseException], None]
    closing: bool = False
    connections: int = 0
    active_requests: int = 0
    became_idle: trio.Event = dataclasses.field(default_factory=trio.Event)
    body_bytes: int = 0
    body_bytes_max: int = 67_108_864
    turns: trio.Lock = dataclasses.field(default_factory=trio.Lock)


class BadRequestError(Exception):
    """Signal a request that is answered with an error status."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
