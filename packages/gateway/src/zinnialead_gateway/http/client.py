"""Send HTTP requests over pooled connections, each at most once."""

import collections
from collections import abc
import dataclasses
import functools
import os
import re
import typing

import h11
import trio

from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import const
from zinnialead_gateway.http import memory as memories
from zinnialead_gateway.http import sockets

Headers = list[tuple[bytes, bytes]]
Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
# The status that h11 suggests for an incomplete head over its limit.
HEAD_TOO_LARGE = 431
STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-5][0-9][0-9]')


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
    received bytes without a request. ``memory`` is for received bodies, and
    long responses are parsed in ``turns``.
    """

    tcp_keepalive: bool
    memory: memories.Memory = dataclasses.field(
        default_factory=memories.Memory
    )
    turns: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    on_stray_bytes: abc.Callable[[str], None] = lambda _: None
    idle: dict[str, collections.deque[Connection]] = dataclasses.field(
        default_factory=dict
    )
    opened_count: int = 0


async def acquire(
    pool: Pool, address: str, idle_max_ms: float, request_id: str | None = None
) -> Connection:
    """Return an idle connection from the pool, or open a new one.

    A connection on which ``request_id`` was refused is left in the pool: a
    refusal that is repeated there could not be told from one of this request.
    Raises OSError or trio.TooSlowError if none can be opened.
    """
    idle = pool.idle.get(address, collections.deque())
    skipped: list[Connection] = []
    chosen: Connection | None = None
    while idle and chosen is None:
        connection = idle.pop()
        if not _has_no_input(connection):
            _close_with_input(pool, connection)
        elif not _is_fresh(connection, idle_max_ms):
            close(connection)
        elif request_id in connection.refused_ids:
            skipped.append(connection)
        else:
            chosen = connection
    idle.extend(reversed(skipped))
    return chosen or await open_connection(pool, address)


async def open_connection(pool: Pool, address: str) -> Connection:
    """Open a connection that a pool may keep.

    Raises OSError or trio.TooSlowError.
    """
    stream = await sockets.connect(address, tcp_keepalive=pool.tcp_keepalive)
    pool.opened_count += 1
    parser = h11.Connection(h11.CLIENT)
    return Connection(address, stream, parser, pool, engines.now_ms())


def release(pool: Pool, connection: Connection) -> None:
    """Return a connection to the pool; close it if it can't be reused."""
    parser = connection.parser
    if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
        close(connection)
        return
    refused_count = len(connection.refused_ids)
    if connection.has_strays or refused_count > const.REFUSED_IDS_MAX:
        close(connection)
        return
    unread, is_closed = parser.trailing_data
    if unread:
        pool.on_stray_bytes(connection.address)
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


async def watch_idle(pool: Pool) -> None:
    """Close idle connections soon after bytes or their end arrive on them."""
    while True:
        await trio.sleep(const.IDLE_CHECK_PERIOD_S)
        for connection in _take_readable(pool):
            _close_with_input(pool, connection)


def _take_readable(pool: Pool) -> list[Connection]:
    """Remove the idle connections that have input from a pool."""
    connections = [x for idle in pool.idle.values() for x in idle]
    numbers = sockets.readable(x.stream.socket for x in connections)
    readable = [
        connection
        for connection in connections
        if connection.stream.socket.fileno() in numbers
    ]
    for connection in readable:
        pool.idle[connection.address].remove(connection)
    return readable


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
    connection.requests_sent += 1
    connection.method = request.method
    connection.received_bytes = 0
    connection.body_bytes = connection.event_count = 0
    connection.turn_work = 0.0
    await connection.stream.send_all(b''.join(x for x in parts if x))


async def receive(connection: Connection) -> Response:
    """Receive the next response and its body.

    Raises ProtocolError for a truncated response, MalformedError for a
    malformed and EndlessError for a too large one, and
    trio.BrokenResourceError if the connection breaks.
    """
    head = await receive_head(connection)
    body = await receive_body(connection)
    return Response(head.status, head.headers, body)


async def receive_head(connection: Connection) -> ResponseHead:
    """Receive the next response's head; raises as ``receive`` does."""
    for _ in range(const.INTERIM_RESPONSES_MAX + 1):
        match await _next_event(connection):
            case h11.Response() as head:
                _check_head(connection, head)
                break
            case h11.InformationalResponse() as interim:
                _check_head(connection, interim)
            case event:
                raise ProtocolError(f'{event!r} in place of a response')
    else:
        raise EndlessError('too many interim responses')
    headers = list(head.headers.raw_items())
    _apply_keep_alive(connection, headers)
    return ResponseHead(
        head.status_code, headers, _has_length(connection, head)
    )


async def receive_body(connection: Connection) -> bytes:
    """Receive the body of the response; raises as ``receive`` does.

    The caller releases the memory that the body takes.
    """
    reservation = memories.Reservation(functools.partial(close, connection))
    body = bytearray()
    try:
        while (part := await _next_part(connection)) is not None:
            body += part
            memories.reserve(connection.pool.memory, reservation, len(body))
            _check_reservation(reservation, len(body))
    except trio.ClosedResourceError:
        _check_reservation(reservation, len(body))
        raise
    finally:
        memories.cancel(connection.pool.memory, reservation)
    _check_reservation(reservation, len(body))
    memories.hold(connection.pool.memory, len(body))
    return bytes(body)


async def skip_body(connection: Connection) -> None:
    """Receive a body and discard it; raises as ``receive`` does."""
    while await _next_part(connection) is not None:
        pass


async def _next_part(connection: Connection) -> bytes | None:
    """Return the next part of a body, None at its end."""
    match await _next_event(connection):
        case h11.Data(data=data):
            return data
        case h11.EndOfMessage():
            return None
        case event:
            raise ProtocolError(f'{event!r} in place of a body')


def _check_reservation(
    reservation: memories.Reservation, body_bytes: int
) -> None:
    if not reservation.is_revoked:
        return
    text = f'no memory is free for a body of over {body_bytes} bytes'
    if body_bytes >= const.LONG_BODY_BYTES:
        raise EndlessError(text)
    raise ProtocolError(text)


def expect_another_response(connection: Connection, request: Request) -> None:
    """Reset the parser after a response to an earlier request.

    The new parser needs the request's head to accept a response to it;
    nothing is sent.
    """
    connection.has_strays = True
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


async def _next_event(connection: Connection) -> Event:
    """Return the parser's next event, after as many reads as it takes."""
    parser = connection.parser
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError as error:
            raise _to_protocol_error(parser, error) from error
        if event is not h11.NEED_DATA:
            await _count_event(connection, event)
            return event
        data = await connection.stream.receive_some(const.READ_BYTES)
        connection.received_bytes += len(data)
        if connection.received_bytes > const.RESPONSE_BYTES_MAX:
            raise EndlessError('the response is too large')
        parser.receive_data(data)


async def _count_event(connection: Connection, event: Event) -> None:
    """Limit the parts of a response; parse long responses in turns."""
    connection.event_count += 1
    connection.turn_work += 1.0
    if isinstance(event, h11.Data):
        connection.body_bytes += len(event.data)
        connection.turn_work += len(event.data) / const.BYTES_PER_EVENT
    large_parts_max = connection.body_bytes // const.PART_BYTES_MIN
    if connection.event_count > const.SMALL_PARTS_MAX + large_parts_max:
        raise EndlessError('the response has too many small parts')
    if connection.turn_work >= const.EVENTS_PER_TURN:
        connection.turn_work = 0.0
        async with connection.pool.turns:
            await trio.lowlevel.checkpoint()


def _to_protocol_error(
    parser: h11.Connection, error: h11.RemoteProtocolError
) -> ProtocolError:
    # The parser quotes what it has received.
    detail = str(error)[: const.ERROR_TEXT_MAX]
    _, is_closed = parser.trailing_data
    if is_closed:
        return ProtocolError(detail)
    if error.error_status_hint == HEAD_TOO_LARGE:
        return EndlessError(detail)
    return MalformedError(detail)


def _has_length(connection: Connection, head: h11.Response) -> bool:
    """Return whether a body ends before its connection does."""
    if connection.method == b'HEAD' or head.status_code in (204, 304):
        return True
    names = {name for name, _ in head.headers}
    return not names.isdisjoint((b'content-length', b'transfer-encoding'))


def _check_head(
    connection: Connection, head: h11.Response | h11.InformationalResponse
) -> None:
    """Raise ProtocolError for a head that contains another response's.

    An earlier response that was cut off merges with the next one: its status
    would come with the next one's headers.
    """
    if connection.requests_sent <= 1:
        return
    values = [value for _, value in head.headers]
    if any(STATUS_LINE.search(value) for value in (head.reason, *values)):
        raise MalformedError('two responses in one head')


def _apply_keep_alive(connection: Connection, headers: Headers) -> None:
    for name, value in headers:
        if name.lower() != b'keep-alive':
            continue
        for parameter in value.split(b','):
            key, _, timeout_s = parameter.strip().partition(b'=')
            if key == b'timeout' and _is_short_number(timeout_s):
                left_ms = int(timeout_s) * 1_000.0 - const.KEEP_ALIVE_MARGIN_MS
                connection.expires_ms = engines.now_ms() + left_ms


def _is_short_number(text: bytes) -> bool:
    return text.isdigit() and len(text) <= const.KEEP_ALIVE_DIGITS_MAX


def _is_fresh(connection: Connection, idle_max_ms: float) -> bool:
    now_ms = engines.now_ms()
    return (
        now_ms - connection.last_used_ms <= idle_max_ms
        and now_ms < connection.expires_ms
    )


def _has_no_input(connection: Connection) -> bool:
    """Return whether no data and no end of stream are waiting to be read."""
    return not connection.stream.socket.is_readable()


def _close_with_input(pool: Pool, connection: Connection) -> None:
    """Close an idle connection on which bytes or its end have arrived."""
    try:
        data = os.read(connection.stream.socket.fileno(), 1)
    except OSError:
        data = b''
    close(connection)
    if data:
        pool.on_stray_bytes(connection.address)
