"""Serve HTTP connections, one request at a time on each."""

import h11
import trio

from zinnialead_gateway.http import const
from zinnialead_gateway.http import models
from zinnialead_gateway.http import request_reader


async def serve(server: models.Server, listener: trio.SocketListener) -> None:
    """Accept connections until the listener is closed."""
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
            nursery.start_soon(_serve_connection, server, stream)


async def _serve_connection(
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
            nursery.start_soon(_read_input, caller)
            await _serve_requests(server, caller)
            nursery.cancel_scope.cancel()
    except* (trio.BrokenResourceError, trio.ClosedResourceError):
        server.count('connections_broken')
    except* Exception as errors:
        # An error on one connection must not close the others.
        server.on_failure(errors)
    finally:
        server.connections -= 1
        stream.socket.close()


async def _read_input(caller: models.Caller) -> None:
    """Feed received data to the parser until the caller disconnects.

    Reading pauses while the parser holds much that it has not parsed yet.
    """
    while not caller.closed:
        try:
            data = await caller.stream.receive_some(const.READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b''
        if not data:
            caller.closed = True
        if not caller.is_closing:
            _feed_parser(caller, data)
        caller.data_received.set()
        if caller.closed and caller.on_disconnect is not None:
            caller.on_disconnect()
        if caller.buffered_bytes > const.BUFFERED_BYTES_MAX:
            caller.resume = trio.Event()
            await caller.resume.wait()


def _feed_parser(caller: models.Caller, data: bytes) -> None:
    try:
        caller.parser.receive_data(data)
    except RuntimeError:
        caller.closed = True
    caller.buffered_bytes += len(data)


async def _serve_requests(
    server: models.Server, caller: models.Caller
) -> None:
    while not caller.closed or caller.parser.trailing_data[0]:
        try:
            request = await request_reader.read_request(server, caller)
        except models.BadRequestError as error:
            response = server.refuse(error.status, str(error))
            await _write(caller, response, close=True)
            await _linger(caller)
            return
        if request is None:
            return
        close = await _serve_request(server, caller, request)
        if close is None:
            return
        if close:
            await _linger(caller)
            return
        caller.parser.start_next_cycle()


async def _serve_request(
    server: models.Server, caller: models.Caller, request: models.Request
) -> bool | None:
    """Answer a request.

    Returns whether to close the connection, None to abort it.
    """
    server.active_requests += 1
    response: models.Response | None = None
    try:
        response = await server.handle(caller, request)
        caller.on_disconnect = None
        if response is None or caller.closed:
            return None
        close = _requires_close(caller) or (
            server.closing and not caller.parser.trailing_data[0]
        )
        await _write(
            caller,
            response,
            close=close,
            without_body=request.method == b'HEAD',
        )
        return close
    finally:
        if response is not None:
            response.discard()
        server.active_requests -= 1
        server.body_bytes -= len(request.body)
        if server.active_requests == 0:
            server.became_idle.set()


async def wait_until_idle(server: models.Server) -> None:
    """Wait until no request is being handled."""
    while server.active_requests:
        server.became_idle = trio.Event()
        await server.became_idle.wait()


def _requires_close(caller: models.Caller) -> bool:
    return caller.parser.their_state is not h11.DONE


async def _write(
    caller: models.Caller,
    response: models.Response,
    *,
    close: bool,
    without_body: bool = False,
) -> None:
    parser = caller.parser
    headers = list(response.headers)
    if close:
        headers.append((b'Connection', b'close'))
    headers.append((b'Content-Length', str(len(response.body)).encode()))
    head = h11.Response(status_code=response.status, headers=headers)
    try:
        parts = [parser.send(head)]
        if response.body and not without_body:
            parts.append(parser.send(h11.Data(data=response.body)))
        parts.append(parser.send(h11.EndOfMessage()))
    except h11.LocalProtocolError:
        # The response is not valid HTTP; nothing was written.
        caller.closed = True
        raise trio.BrokenResourceError from None
    with trio.move_on_after(const.WRITE_TIMEOUT_S) as scope:
        await caller.stream.send_all(b''.join(x for x in parts if x))
    if scope.cancelled_caught:
        # What follows would be taken for the rest of this response.
        caller.closed = True
        raise trio.BrokenResourceError('the response was not read in time')


async def _linger(caller: models.Caller) -> None:
    """Give the caller time to read the response before closing.

    Closing a socket with unread input resets the connection.  What arrives
    until then is discarded.
    """
    caller.is_closing = True
    caller.buffered_bytes = 0
    if caller.resume is not None:
        caller.resume.set()
    with trio.move_on_after(const.CLOSE_LINGER_S):
        await caller.stream.send_eof()
        while not caller.closed:
            caller.data_received = trio.Event()
            await caller.data_received.wait()
