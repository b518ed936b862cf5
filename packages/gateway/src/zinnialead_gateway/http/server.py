"""Serve callers' connections, a request at a time on each."""

from collections import abc
import dataclasses
import typing

import h11
import trio

from zinnialead_gateway.http import const

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


async def serve(server: Server, listener: trio.SocketListener) -> None:
    """Accept connections for good."""
    async with trio.open_nursery() as nursery:
        while True:
            try:
                stream = await listener.accept()
            except trio.ClosedResourceError:
                return
            except OSError as error:
                server.count(f'accept_failed.{error.errno}')
                await trio.sleep(const.ACCEPT_PAUSE_S)
                continue
            if server.connections >= server.connections_max:
                server.count('connections_full')
                stream.socket.close()
                continue
            nursery.start_soon(_connection, server, stream)


async def _connection(server: Server, stream: trio.SocketStream) -> None:
    server.connections += 1
    limits = server.limits()
    parser = h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.header_bytes_max
    )
    caller = Caller(stream, parser, trio.Event())
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_read, caller)
            await _exchanges(server, caller)
            nursery.cancel_scope.cancel()
    except* (trio.BrokenResourceError, trio.ClosedResourceError):
        server.count('connections_broken')
    except* Exception as errors:
        # One caller's connection must not end the others.
        server.failed(errors)
    finally:
        server.connections -= 1
        stream.socket.close()


async def _read(caller: Caller) -> None:
    """Bring what the caller sends to the parser until it leaves."""
    while not caller.closed:
        try:
            data = await caller.stream.receive_some(const.READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b''
        if not data:
            caller.closed = True
        try:
            caller.parser.receive_data(data)
        except RuntimeError:
            caller.closed = True
        caller.ahead_bytes += len(data)
        caller.news.set()
        if caller.closed and caller.left is not None:
            caller.left()
        if caller.left and caller.ahead_bytes > const.AHEAD_BYTES_MAX:
            caller.resume = trio.Event()
            await caller.resume.wait()


async def _exchanges(server: Server, caller: Caller) -> None:
    while not caller.closed or caller.parser.trailing_data[0]:
        try:
            asked = await _request(server, caller)
        except BadRequestError as error:
            answer = server.refuse(error.status, str(error))
            await _write(caller, answer, close=True)
            await _linger(caller)
            return
        if asked is None:
            return
        close = await _answer(server, caller, asked)
        if close is None:
            return
        if close:
            await _linger(caller)
            return
        caller.parser.start_next_cycle()


async def _answer(server: Server, caller: Caller, asked: Asked) -> bool | None:
    """Answer a request; return whether to close, None if it is cut."""
    server.busy += 1
    try:
        answered = await server.handle(caller, asked)
        caller.left = None
        if answered is None or caller.closed:
            return None
        close = server.closing or _wants_close(caller)
        await _write(
            caller, answered, close=close, without_body=asked.method == b'HEAD'
        )
        return close
    finally:
        server.busy -= 1
        server.body_bytes -= len(asked.body)
        if server.busy == 0:
            server.emptied.set()


async def idle(server: Server) -> None:
    """Wait until no caller waits for an answer."""
    while server.busy:
        server.emptied = trio.Event()
        await server.emptied.wait()


async def _request(server: Server, caller: Caller) -> Asked | None:
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
            raise BadRequestError(408, 'the head came too slowly')
        case _:
            return None


async def _whole(
    server: Server, caller: Caller, limits: Limits, head: h11.Request
) -> Asked | None:
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
                    raise BadRequestError(408, 'the body came too slowly')
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
    return Asked(head.method, head.target, raw, b''.join(parts))


async def _event(caller: Caller) -> Event:
    """Return the parser's next event; raises BadRequestError."""
    while True:
        try:
            event = caller.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequestError(
                error.error_status_hint, str(error)
            ) from error
        if event is not h11.NEED_DATA:
            return event
        if caller.closed:
            return h11.ConnectionClosed()
        await _more(caller)


async def _more(caller: Caller) -> None:
    """Wait until the caller sends more or leaves."""
    caller.ahead_bytes = 0
    if caller.resume is not None:
        caller.resume.set()
    caller.news = trio.Event()
    if not caller.closed:
        await caller.news.wait()


async def _continue(caller: Caller) -> None:
    if caller.parser.they_are_waiting_for_100_continue:
        event = h11.InformationalResponse(status_code=100, headers=[])
        await caller.stream.send_all(caller.parser.send(event))


def _check_length(head: h11.Request, limits: Limits) -> None:
    for name, value in head.headers:
        if name == b'content-length' and int(value) > limits.body_bytes_max:
            raise BadRequestError(413, 'the body is too large')


def _check_size(server: Server, limits: Limits, size: int) -> None:
    if size > limits.body_bytes_max:
        raise BadRequestError(413, 'the body is too large')
    if server.body_bytes > server.body_bytes_max:
        server.count('bodies_full')
        raise BadRequestError(503, 'no memory is free for the body')


def _wants_close(caller: Caller) -> bool:
    return caller.parser.their_state is not h11.DONE


async def _write(
    caller: Caller,
    answer: Answer,
    *,
    close: bool,
    without_body: bool = False,
) -> None:
    parser = caller.parser
    headers = list(answer.headers)
    if close:
        headers.append((b'Connection', b'close'))
    headers.append((b'Content-Length', str(len(answer.body)).encode()))
    head = h11.Response(status_code=answer.status, headers=headers)
    try:
        parts = [parser.send(head)]
        if answer.body and not without_body:
            parts.append(parser.send(h11.Data(data=answer.body)))
        parts.append(parser.send(h11.EndOfMessage()))
    except h11.LocalProtocolError:
        # The answer can't be put in a frame: nothing of it was written.
        caller.closed = True
        raise trio.BrokenResourceError from None
    with trio.move_on_after(const.WRITE_TIMEOUT_S):
        await caller.stream.send_all(b''.join(x for x in parts if x))


async def _linger(caller: Caller) -> None:
    """Let the caller read the answer before the connection is closed.

    Closing with bytes unread would reset it.
    """
    with trio.move_on_after(const.CLOSE_LINGER_S):
        await caller.stream.send_eof()
        while not caller.closed:
            caller.news = trio.Event()
            caller.ahead_bytes = 0
            await caller.news.wait()
