"""Serve callers' connections, a request at a time on each."""

import h11
import trio

from zinnialead_gateway.http import const
from zinnialead_gateway.http import models
from zinnialead_gateway.http import reading


async def serve(server: models.Server, listener: trio.SocketListener) -> None:
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


async def _connection(
    server: models.Server, stream: trio.SocketStream
) -> None:
    server.connections += 1
    limits = server.limits()
    parser = h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.header_bytes_max
    )
    caller = models.Caller(stream, parser, trio.Event())
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


async def _read(caller: models.Caller) -> None:
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


async def _exchanges(server: models.Server, caller: models.Caller) -> None:
    while not caller.closed or caller.parser.trailing_data[0]:
        try:
            asked = await reading.request(server, caller)
        except models.BadRequestError as error:
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


async def _answer(
    server: models.Server, caller: models.Caller, asked: models.Asked
) -> bool | None:
    """models.Answer a request; return whether to close, None if it is cut."""
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


async def idle(server: models.Server) -> None:
    """Wait until no caller waits for an answer."""
    while server.busy:
        server.emptied = trio.Event()
        await server.emptied.wait()


def _wants_close(caller: models.Caller) -> bool:
    return caller.parser.their_state is not h11.DONE


async def _write(
    caller: models.Caller,
    answer: models.Answer,
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


async def _linger(caller: models.Caller) -> None:
    """Let the caller read the answer before the connection is closed.

    Closing with bytes unread would reset it.
    """
    with trio.move_on_after(const.CLOSE_LINGER_S):
        await caller.stream.send_eof()
        while not caller.closed:
            caller.news = trio.Event()
            caller.ahead_bytes = 0
            await caller.news.wait()
