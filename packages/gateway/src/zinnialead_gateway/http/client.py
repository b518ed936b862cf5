"""Send requests over kept connections, each at most once."""

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
    """Say that an answer can't be used; the request was sent."""


@dataclasses.dataclass(slots=True)
class Connection:
    """Hold a connection; ``used_ms`` is when it was last heard from."""

    address: str
    stream: trio.SocketStream
    parser: h11.Connection
    used_ms: float
    expires_ms: float = float('inf')
    sent: bool = False


@dataclasses.dataclass(slots=True)
class Pool:
    """Hold idle connections by address, the last used last."""

    watched: bool
    idle: dict[str, collections.deque[Connection]] = dataclasses.field(
        default_factory=dict
    )
    opened: int = 0


async def take(pool: Pool, address: str, idle_max_ms: float) -> Connection:
    """Return a kept connection that is quiet, or a new one.

    Raises OSError or trio.TooSlowError if none can be opened.
    """
    kept = pool.idle.get(address)
    now_ms = engines.now_ms()
    while kept:
        connection = kept.pop()
        fresh = now_ms - connection.used_ms <= idle_max_ms
        if fresh and now_ms < connection.expires_ms and _is_quiet(connection):
            return connection
        close(connection)
    stream = await sockets.connect(address, watched=pool.watched)
    pool.opened += 1
    return Connection(address, stream, h11.Connection(h11.CLIENT), now_ms)


def give_back(pool: Pool, connection: Connection) -> None:
    """Keep a connection whose exchange is over, if it can be used again."""
    parser = connection.parser
    if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
        close(connection)
        return
    left, ended = parser.trailing_data
    if left or ended:
        close(connection)
        return
    parser.start_next_cycle()
    connection.used_ms = engines.now_ms()
    connection.sent = False
    kept = pool.idle.setdefault(connection.address, collections.deque())
    kept.append(connection)
    if len(kept) > const.IDLE_CONNECTIONS_MAX:
        close(kept.popleft())


def drop(pool: Pool, address: str) -> None:
    """Close what is idle at an address."""
    for connection in pool.idle.pop(address, ()):
        close(connection)


def close(connection: Connection) -> None:
    """Close a connection at once."""
    connection.stream.socket.close()


async def send(connection: Connection, request: Request) -> None:
    """Send a whole request; from its first byte on it may run."""
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
    """Return the next whole response.

    Raises ProtocolError for one that is cut short or no response, and
    trio.BrokenResourceError for a connection that breaks.
    """
    try:
        return await _receive(connection)
    except h11.RemoteProtocolError as error:
        raise ProtocolError(str(error)) from error


def begin_again(connection: Connection, request: Request) -> None:
    """Expect one more answer to a request whose answer was a stray one."""
    left, ended = connection.parser.trailing_data
    parser = h11.Connection(h11.CLIENT)
    headers = [x for x in request.headers if x[0].lower() == b'host']
    parser.send(
        h11.Request(
            method=request.method, target=request.target, headers=headers
        )
    )
    parser.send(h11.EndOfMessage())
    if left:
        parser.receive_data(left)
    if ended:
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
                if len(body) > const.ANSWER_BYTES_MAX:
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
    _note_keep_alive(connection, headers)
    return Response(head.status_code, headers, bytes(body))


def _note_keep_alive(connection: Connection, headers: Headers) -> None:
    for name, value in headers:
        if name.lower() != b'keep-alive':
            continue
        for item in value.split(b','):
            key, _, number = item.strip().partition(b'=')
            if key == b'timeout' and number.isdigit():
                left_ms = int(number) * 1_000.0 - const.KEEP_ALIVE_MARGIN_MS
                connection.expires_ms = engines.now_ms() + left_ms


def _is_quiet(connection: Connection) -> bool:
    """Return whether nothing came on an idle connection, not even its end."""
    return not connection.stream.socket.is_readable()
