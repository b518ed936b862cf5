"""Read callers' requests within their limits."""

import h11
import trio

from zinnialead_gateway.http import const
from zinnialead_gateway.http import models


async def read_request(
    server: models.Server, caller: models.Caller
) -> models.Request | None:
    """Read the next request; return None if the caller disconnects first."""
    limits = server.limits()
    if not caller.parser.trailing_data[0]:
        with trio.move_on_after(limits.idle_timeout_s):
            await _wait_for_data(caller)
    if not caller.parser.trailing_data[0]:
        return None
    head = None
    with trio.move_on_after(limits.header_timeout_s):
        head = await _next_event(caller)
    match head:
        case h11.Request():
            return await _read_body(server, caller, limits, head)
        case None:
            raise models.BadRequestError(408, 'the head came too slowly')
        case _:
            return None


async def _read_body(
    server: models.Server,
    caller: models.Caller,
    limits: models.Limits,
    head: h11.Request,
) -> models.Request | None:
    """Read a body; return the request, None if the caller disconnects."""
    _check_length(head, limits)
    await _send_continue(caller)
    # A small part takes many times its size as an object of its own.
    body = bytearray()
    is_complete = False
    try:
        is_complete = await _read_parts(server, caller, limits, body)
    finally:
        if not is_complete:
            server.body_bytes -= len(body)
    if not is_complete:
        return None
    _resume_reader(caller)
    headers = list(head.headers.raw_items())
    return models.Request(head.method, head.target, headers, bytes(body))


async def _read_parts(
    server: models.Server,
    caller: models.Caller,
    limits: models.Limits,
    body: bytearray,
) -> bool:
    """Append the parts of a body; return whether it is complete."""
    part_count = 0
    while True:
        event = None
        with trio.move_on_after(limits.idle_timeout_s):
            event = await _next_event(caller)
        match event:
            case None:
                raise models.BadRequestError(408, 'the body came too slowly')
            case h11.Data(data=data):
                body += data
                server.body_bytes += len(data)
                _check_size(server, limits, len(body))
            case h11.EndOfMessage():
                return True
            case _:
                return False
        part_count += 1
        if part_count % const.EVENTS_PER_TURN == 0:
            async with server.turns:
                await trio.lowlevel.checkpoint()


async def _next_event(caller: models.Caller) -> models.Event:
    """Return the parser's next event.

    Raises models.BadRequestError for malformed input.
    """
    while True:
        try:
            event = caller.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise models.BadRequestError(
                error.error_status_hint, str(error)
            ) from error
        if event is not h11.NEED_DATA:
            return event
        if caller.closed:
            return h11.ConnectionClosed()
        await _wait_for_data(caller)


async def _wait_for_data(caller: models.Caller) -> None:
    """Wait until the caller sends data or disconnects."""
    caller.buffered_bytes = 0
    if caller.resume is not None:
        caller.resume.set()
    caller.data_received = trio.Event()
    if not caller.closed:
        await caller.data_received.wait()


def _resume_reader(caller: models.Caller) -> None:
    """Let reading go on if it was paused for what has been parsed since.

    A paused reader would not notice that the caller disconnects.
    """
    if caller.resume is None:
        return
    caller.buffered_bytes = len(caller.parser.trailing_data[0])
    if caller.buffered_bytes <= const.BUFFERED_BYTES_MAX:
        caller.resume.set()


async def _send_continue(caller: models.Caller) -> None:
    if caller.parser.they_are_waiting_for_100_continue:
        event = h11.InformationalResponse(status_code=100, headers=[])
        await caller.stream.send_all(caller.parser.send(event))


def _check_length(head: h11.Request, limits: models.Limits) -> None:
    for name, value in head.headers:
        if name == b'content-length' and int(value) > limits.body_bytes_max:
            raise models.BadRequestError(413, 'the body is too large')


def _check_size(
    server: models.Server, limits: models.Limits, size: int
) -> None:
    if size > limits.body_bytes_max:
        raise models.BadRequestError(413, 'the body is too large')
    if server.body_bytes > server.body_bytes_max:
        server.count('bodies_full')
        raise models.BadRequestError(503, 'no memory is free for the body')
