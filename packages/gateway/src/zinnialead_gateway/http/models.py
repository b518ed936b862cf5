"""Define what a server holds of its callers, and what they exchange."""

from collections import abc
import dataclasses
import typing

import h11
import trio

Headers = list[tuple[bytes, bytes]]


class Limits(typing.NamedTuple):
    """Bound what a caller may send, and how slowly."""

    header_bytes_max: int
    body_bytes_max: int
    header_timeout_s: float
    idle_timeout_s: float


class Asked(typing.NamedTuple):
    """Hold a caller's whole request."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class Answer(typing.NamedTuple):
    """Hold a whole answer; None in its place cuts the connection."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(slots=True)
class Caller:
    """Hold one connection of a caller.

    ``left`` is called once if the caller leaves while it is answered.
    """

    stream: trio.SocketStream
    parser: h11.Connection
    news: trio.Event
    closed: bool = False
    ahead_bytes: int = 0
    resume: trio.Event | None = None
    left: abc.Callable[[], None] | None = None


Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
Handle = abc.Callable[[Caller, Asked], abc.Awaitable[Answer | None]]


@dataclasses.dataclass(slots=True)
class Server:
    """Hold what one port serves, and how many connections it has."""

    handle: Handle
    limits: abc.Callable[[], Limits]
    connections_max: int
    count: abc.Callable[[str], None]
    refuse: abc.Callable[[int, str], Answer]
    failed: abc.Callable[[BaseException], None]
    closing: bool = False
    connections: int = 0
    busy: int = 0
    emptied: trio.Event = dataclasses.field(default_factory=trio.Event)
    body_bytes: int = 0
    body_bytes_max: int = 67_108_864


class BadRequestError(Exception):
    """Carry the status and reason of a refusal of what a caller sent."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
