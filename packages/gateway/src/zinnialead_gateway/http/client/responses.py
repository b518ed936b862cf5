"""Receive responses within their limits."""

import functools
import re

import h11
import trio

from zinnialead_gateway import engine as engines
from zinnialead_gateway.http.client import models
from zinnialead_gateway.http.client import pool as pools
from zinnialead_gateway.http import const
from zinnialead_gateway.http import memory as memories

Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
# The status that h11 suggests for an incomplete head over its limit.
HEAD_TOO_LARGE = 431
STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-5][0-9][0-9]')


async def receive(connection: models.Connection) -> models.Response:
    """Receive the next response and its body.

    Raises ProtocolError for a truncated response, MalformedError for a
    malformed and EndlessError for a too large one, and
    trio.BrokenResourceError if the connection breaks.
    """
    head = await receive_head(connection)
    body = await receive_body(connection)
    return models.Response(head.status, head.headers, body)


async def receive_head(connection: models.Connection) -> models.ResponseHead:
    """Receive the next response's head; raises as ``receive`` does."""
    for _ in range(const.INTERIM_RESPONSES_MAX + 1):
        match await _next_event(connection):
            case h11.Response() as head:
                _check_head(connection, head)
                break
            case h11.InformationalResponse() as interim:
                _check_head(connection, interim)
            case event:
                raise models.ProtocolError(f'{event!r} in place of a response')
    else:
        raise models.EndlessError('too many interim responses')
    headers = list(head.headers.raw_items())
    _apply_keep_alive(connection, headers)
    return models.ResponseHead(
        head.status_code, headers, _has_length(connection, head)
    )


async def receive_body(connection: models.Connection) -> bytes:
    """Receive the body of the response; raises as ``receive`` does.

    The caller releases the memory that the body takes.
    """
    reservation = memories.Reservation(
        functools.partial(pools.close, connection)
    )
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


async def skip_body(connection: models.Connection) -> None:
    """Receive a body and discard it; raises as ``receive`` does."""
    while await _next_part(connection) is not None:
        pass


async def _next_part(connection: models.Connection) -> bytes | None:
    """Return the next part of a body, None at its end."""
    match await _next_event(connection):
        case h11.Data(data=data):
            return data
        case h11.EndOfMessage():
            return None
        case event:
            raise models.ProtocolError(f'{event!r} in place of a body')


def _check_reservation(
    reservation: memories.Reservation, body_bytes: int
) -> None:
    if not reservation.is_revoked:
        return
    text = f'no memory is free for a body of over {body_bytes} bytes'
    if body_bytes >= const.LONG_BODY_BYTES:
        raise models.EndlessError(text)
    raise models.ProtocolError(text)


def expect_another_response(
    connection: models.Connection, request: models.Request
) -> None:
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


async def _next_event(connection: models.Connection) -> Event:
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
            raise models.EndlessError('the response is too large')
        parser.receive_data(data)


async def _count_event(connection: models.Connection, event: Event) -> None:
    """Limit the parts of a response; parse long responses in turns."""
    connection.event_count += 1
    connection.turn_work += 1.0
    if isinstance(event, h11.Data):
        connection.body_bytes += len(event.data)
        connection.turn_work += len(event.data) / const.BYTES_PER_EVENT
    large_parts_max = connection.body_bytes // const.PART_BYTES_MIN
    if connection.event_count > const.SMALL_PARTS_MAX + large_parts_max:
        raise models.EndlessError('the response has too many small parts')
    if connection.turn_work >= const.EVENTS_PER_TURN:
        connection.turn_work = 0.0
        async with connection.pool.turns:
            await trio.lowlevel.checkpoint()


def _to_protocol_error(
    parser: h11.Connection, error: h11.RemoteProtocolError
) -> models.ProtocolError:
    # The parser quotes what it has received.
    detail = str(error)[: const.ERROR_TEXT_MAX]
    _, is_closed = parser.trailing_data
    if is_closed:
        return models.ProtocolError(detail)
    if error.error_status_hint == HEAD_TOO_LARGE:
        return models.EndlessError(detail)
    return models.MalformedError(detail)


def _has_length(connection: models.Connection, head: h11.Response) -> bool:
    """Return whether a body ends before its connection does."""
    if connection.method == b'HEAD' or head.status_code in (204, 304):
        return True
    names = {name for name, _ in head.headers}
    return not names.isdisjoint((b'content-length', b'transfer-encoding'))


def _check_head(
    connection: models.Connection,
    head: h11.Response | h11.InformationalResponse,
) -> None:
    """Raise ProtocolError for a head that contains another response's.

    An earlier response that was cut off merges with the next one: its status
    would come with the next one's headers.
    """
    if connection.requests_sent <= 1:
        return
    values = [value for _, value in head.headers]
    if any(STATUS_LINE.search(value) for value in (head.reason, *values)):
        raise models.MalformedError('two responses in one head')


def _apply_keep_alive(
    connection: models.Connection, headers: models.Headers
) -> None:
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
