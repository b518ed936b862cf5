"""Send HTTP requests over pooled connections, each at most once."""

import collections
import dataclasses
import typing

import h11
import trio

from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import const
from zinnialead_gateway.http import sockets

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


class ProtocolError(Exception):
    """Signal an unusable response; the request was sent."""


@dataclasses.dataclass(slots=True)
class Connection:
    """Hold a connection; ``last_used_ms`` is the end of its last exchange.

    ``sent`` is set once bytes of the current request may have been sent.
    """

    address: str
    stream: trio.SocketStream
    parser: h11.Connection
    last_used_ms: float
    expires_ms: float = float('inf')
    sent: bool = False


@dataclasses.dataclass(slots=True)
class Pool:
    """Hold idle connections by address, most recently used last."""

    tcp_keepalive: bool
    idle: dict[str, collections.deque[Connection]] = dataclasses.field(
        default_factory=dict
    )
    opened_count: int = 0


async def acquire(pool: Pool, address: str, idle_max_ms: float) -> Connection:
    """Return an idle connection from the pool, or open a new one.

    Raises OSError or trio.TooSlowError if none can be opened.
    """
    idle = pool.idle.get(address)
    now_ms = engines.now_ms()
    while idle:
        connection = idle.pop()
        is_fresh = now_ms - connection.last_used_ms <= idle_max_ms
        if (
            is_fresh
            and now_ms < connection.expires_ms
            and _has_no_input(connection)
        ):
            return connection
        close(connection)
    stream = await sockets.connect(address, tcp_keepalive=pool.tcp_keepalive)
    pool.opened_count += 1
    return Connection(address, stream, h11.Connection(h11.CLIENT), now_ms)


def release(pool: Pool, connection: Connection) -> None:
    """Return a connection to the pool; close it if it can't be reused."""
    parser = connection.parser
    if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
        close(connection)
        return
    unread, is_closed = parser.trailing_data
    if unread or is_closed:
        close(connection)
        return
    parser.start_next_cycle()
    connection.last_used_ms = engines.now_ms()
    connection.sent = False
    idle = pool.idle.setdefault(connection.address, collections.deque())
    idle.append(connection)
    if len(idle) > const.IDLE_CONNECTIONS_MAX:
        close(idle.popleft())


def close_idle(pool: Pool, address: str) -> None:
    """Close the idle connections to an address."""
    for connection in pool.idle.pop(address, ()):
        close(connection)


def close(connection: Connection) -> None:
    """Close a connection immediately."""
    connection.stream.socket.close()


async def send(connection: Connection, request: Request) -> None:
    """Send a request; it may run as soon as its first byte is sent."""
    parser = connection.parser
    headers = request.headers
    if request.body or request.method not in (b'GET', b'HEAD', b'DELETE'):
        length = str(len(request.body)).encode()
        headers = [*headers, (b'Content-Length', length)]
    head = h11.Request(
        method=request.method, target=request.target, headers=headers
    )
    parts = [parser.send(head)]
    if request.body:
        parts.append(parser.send(h11.Data(data=request.body)))
    parts.append(parser.send(h11.EndOfMessage()))
    connection.sent = True
    await connection.stream.send_all(b''.join(x for x in parts if x))


async def receive(connection: Connection) -> Response:
    """Receive the next response and its body.

    Raises ProtocolError for a truncated or malformed response, and
    trio.BrokenResourceError if the connection breaks.
    """
    try:
        return await _receive(connection)
    except h11.RemoteProtocolError as error:
        raise ProtocolError(str(error)) from error


def expect_another_response(connection: Connection, request: Request) -> None:
    """Reset the parser after a response to an earlier request.

    The new parser needs the request's head to accept a response to it;
    nothing is sent.
    """
    unread, is_closed = connection.parser.trailing_data
    parser = h11.Connection(h11.CLIENT)
    headers = [x for x in request.headers if x[0].lower() == b'host']
    parser.send(
        h11.Request(
            method=request.method, target=request.target, headers=headers
        )
    )
    parser.send(h11.EndOfMessage())
    if unread:
        parser.receive_data(unread)
    if is_closed:
        parser.receive_data(b'')
    connection.parser = parser


async def _receive(connection: Connection) -> Response:
    parser = connection.parser
    head: h11.Response | None = None
    body = bytearray()
    while True:
        event = parser.next_event()
        match event:
            case h11.NEED_DATA:
                data = await connection.stream.receive_some(const.READ_BYTES)
                parser.receive_data(data)
            case h11.Response():
                head = event
            case h11.Data(data=data):
                body += data
                if len(body) > const.RESPONSE_BYTES_MAX:
                    raise ProtocolError('the answer is too large')
            case h11.EndOfMessage():
                break
            case h11.InformationalResponse():
                continue
            case _:
                raise ProtocolError(f'{event!r} in place of an answer')
    if head is None:
        raise ProtocolError('an end without an answer')
    headers = list(head.headers.raw_items())
    _apply_keep_alive(connection, headers)
    return Response(head.status_code, headers, bytes(body))


def _apply_keep_alive(connection: Connection, headers: Headers) -> None:
    for name, value in headers:
        if name.lower() != b'keep-alive':
            continue
        for parameter in value.split(b','):
            key, _, timeout_s = parameter.strip().partition(b'=')
            if key == b'timeout' and timeout_s.isdigit():
                # A float takes any number of digits.
                left_ms = float(timeout_s) * 1_000.0
                left_ms -= const.KEEP_ALIVE_MARGIN_MS
                connection.expires_ms = engines.now_ms() + left_ms


def _has_no_input(connection: Connection) -> bool:
    """Return whether no data and no end of stream are waiting to be read."""
    return not connection.stream.socket.is_readable()
