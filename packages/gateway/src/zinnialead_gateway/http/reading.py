"""Read callers' requests within their limits."""

import h11
import trio

from zinnialead_gateway.http import models


async def request(
    server: models.Server, caller: models.Caller
) -> models.Asked | None:
    """Return the next whole request, None if the caller left before."""
    limits = server.limits()
    if not caller.parser.trailing_data[0]:
        with trio.move_on_after(limits.idle_timeout_s):
            await _more(caller)
    if not caller.parser.trailing_data[0]:
        return None
    head = None
    with trio.move_on_after(limits.header_timeout_s):
        head = await _event(caller)
    match head:
        case h11.Request():
            return await _whole(server, caller, limits, head)
        case None:
            raise models.BadRequestError(408, 'the head came too slowly')
        case _:
            return None


async def _whole(
    server: models.Server,
    caller: models.Caller,
    limits: models.Limits,
    head: h11.Request,
) -> models.Asked | None:
    """Return a request with its body, None if the caller left before."""
    _check_length(head, limits)
    await _continue(caller)
    parts: list[bytes] = []
    size = 0
    whole = False
    try:
        while not whole:
            event = None
            with trio.move_on_after(limits.idle_timeout_s):
                event = await _event(caller)
            match event:
                case None:
                    raise models.BadRequestError(
                        408, 'the body came too slowly'
                    )
                case h11.Data(data=data):
                    parts.append(bytes(data))
                    size += len(data)
                    server.body_bytes += len(data)
                    _check_size(server, limits, size)
                case h11.EndOfMessage():
                    whole = True
                case _:
                    return None
    finally:
        if not whole:
            server.body_bytes -= size
    raw = list(head.headers.raw_items())
    return models.Asked(head.method, head.target, raw, b''.join(parts))


async def _event(caller: models.Caller) -> models.Event:
    """Return the parser's next event; raises models.BadRequestError."""
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
        await _more(caller)


async def _more(caller: models.Caller) -> None:
    """Wait until the caller sends more or leaves."""
    caller.ahead_bytes = 0
    if caller.resume is not None:
        caller.resume.set()
    caller.news = trio.Event()
    if not caller.closed:
        await caller.news.wait()


async def _continue(caller: models.Caller) -> None:
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
