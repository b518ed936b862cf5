"""Test the HTTP server with misbehaving callers over loopback."""

import contextlib
import functools
import itertools
import tracemalloc

import trio

from zinnialead_gateway.http import const
from zinnialead_gateway.http import models as http_models
from zinnialead_gateway.http import server
from zinnialead_gateway.http import sockets

LIMITS = http_models.Limits(2_000, 5_000, 0.2, 0.5)
GET = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'


async def echo(caller, request):
    return http_models.Response(200, [], request.target + b':' + request.body)


def refuse(status, reason):
    return http_models.Response(status, [], reason.encode())


async def serve(nursery, handle=echo, limits=LIMITS):
    listener = await sockets.listen('127.0.0.1:0')
    events = []
    http_server = http_models.Server(
        handle, lambda: limits, 10, events.append, refuse, events.append
    )
    nursery.start_soon(server.serve, http_server, listener)
    port = listener.socket.getsockname()[1]
    return http_server, functools.partial(
        trio.open_tcp_stream, '127.0.0.1', port
    )


async def read_all(stream):
    data = b''
    with trio.move_on_after(2.0):
        while part := await stream.receive_some(65_536):
            data += part
    return data


async def ask(connect, *parts, pause_s=0.0):
    stream = await connect()
    for part in parts:
        await stream.send_all(part)
        await trio.sleep(pause_s)
    data = await read_all(stream)
    await stream.aclose()
    return data


async def test_requests_are_answered_in_turn(nursery):
    _, connect = await serve(nursery)
    close = b'GET /y HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
    data = await ask(connect, GET + close)
    assert data.count(b'HTTP/1.1 200') == 2
    assert data.index(b'/x:') < data.index(b'/y:')


async def test_a_chunked_body_is_read(nursery):
    _, connect = await serve(nursery)
    head = b'POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
    head += b'Transfer-Encoding: chunked\r\n\r\n'
    data = await ask(connect, head, b'3\r\nabc\r\n', b'0\r\n\r\n')
    assert data.endswith(b'/x:abc')


CHUNKED = b'POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'


async def test_a_body_in_tiny_chunks_takes_little_memory(nursery):
    """Each chunk of two bytes took 48, and limits count two."""
    limits = LIMITS._replace(body_bytes_max=400_000)
    _, connect = await serve(nursery, limits=limits)
    stream = await connect()
    tracemalloc.start()
    await stream.send_all(CHUNKED)
    for _ in range(190):
        await stream.send_all(b'2\r\nab\r\n' * 1_000)
    await trio.sleep(0.2)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await stream.send_all(b'0\r\n\r\n')
    assert b'ab' in await stream.receive_some(65_536)
    assert used_bytes < 3 * 380_000


async def test_other_tasks_run_while_tiny_chunks_are_read(nursery):
    """A buffer of tiny chunks held up all other requests for 0.2 s."""
    limits = LIMITS._replace(body_bytes_max=400_000)
    http_server, connect = await serve(nursery, limits=limits)
    stream = await connect()
    read_bytes = [0]

    async def observe():
        while True:
            read_bytes.append(http_server.body_bytes)
            await trio.lowlevel.checkpoint()

    nursery.start_soon(observe)
    await stream.send_all(CHUNKED + b'2\r\nab\r\n' * 9_000)
    await stream.send_all(b'0\r\n\r\n')
    assert b'ab' in await stream.receive_some(65_536)
    steps = [
        after - before for before, after in itertools.pairwise(read_bytes)
    ]
    assert max(read_bytes) > 0
    assert max(steps) <= 2 * const.EVENTS_PER_TURN


async def test_a_disconnect_after_a_long_body_is_noticed(nursery):
    """Reading was paused for a body that had been parsed in the meantime."""
    disconnects = []
    handled = trio.Event()

    async def handle(caller, request):
        caller.on_disconnect = functools.partial(disconnects.append, None)
        handled.set()
        await trio.sleep(0.5)

    limits = LIMITS._replace(body_bytes_max=1_000_000)
    _, connect = await serve(nursery, handle, limits)
    for number in range(1, 11):
        handled = trio.Event()
        stream = await connect()
        head = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 400000\r\n\r\n'
        await stream.send_all(head + bytes(400_000))
        await handled.wait()
        await stream.aclose()
        await trio.sleep(0.1)
        assert len(disconnects) == number


async def test_an_incomplete_head_is_refused(nursery):
    _, connect = await serve(nursery)
    data = await ask(connect, b'GET /x HTTP/1.1\r\nHost:')
    assert b' 408 ' in data.split(b'\r\n')[0]


async def test_a_too_large_head_is_refused(nursery):
    _, connect = await serve(nursery)
    data = await ask(connect, GET[:-2] + b'X: ' + b'a' * 3_000)
    assert b' 431 ' in data.split(b'\r\n')[0]


async def test_a_too_large_body_is_refused(nursery):
    http_server, connect = await serve(nursery)
    head = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 6000\r\n\r\n'
    assert b' 413 ' in (await ask(connect, head)).split(b'\r\n')[0]
    assert http_server.body_bytes == 0


async def test_an_idle_connection_is_closed(nursery):
    _, connect = await serve(nursery)
    with trio.fail_after(1.5):
        assert await ask(connect) == b''


async def test_a_closing_server_answers_and_closes(nursery):
    http_server, connect = await serve(nursery)
    http_server.closing = True
    data = await ask(connect, GET)
    assert b'connection: close' in data.lower()
    assert data.endswith(b'/x:')


async def test_a_closing_server_answers_requests_that_are_pipelined(nursery):
    http_server, connect = await serve(nursery)
    http_server.closing = True
    data = await ask(connect, GET + GET.replace(b'/x', b'/y'))
    assert data.count(b'HTTP/1.1 200') == 2
    assert data.count(b'Connection: close') == 1
    assert data.endswith(b'/y:')


async def test_a_caller_that_disconnects_is_noticed(nursery):
    disconnected = trio.Event()

    async def slow(caller, _request):
        caller.on_disconnect = disconnected.set
        await trio.sleep(5.0)

    _, connect = await serve(nursery, slow)
    stream = await connect()
    await stream.send_all(GET)
    await trio.sleep(0.05)
    await stream.aclose()
    with trio.fail_after(1.0):
        await disconnected.wait()


async def test_conflicting_lengths_are_refused(nursery):
    _, connect = await serve(nursery)
    head = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n'
    head += b'Content-Length: 9\r\n\r\nabc'
    assert b' 400 ' in (await ask(connect, head)).split(b'\r\n')[0]


async def test_a_failing_handler_closes_only_its_connection(nursery):
    async def fail(_caller, request):
        if request.target == b'/x':
            raise RuntimeError('broken')
        return http_models.Response(200, [], b'well')

    _, connect = await serve(nursery, fail)
    assert await ask(connect, GET) == b''
    close = b'GET /y HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
    assert (await ask(connect, close)).endswith(b'well')


async def test_no_answer_follows_one_that_was_cut_off(nursery, monkeypatch):
    monkeypatch.setattr(const, 'WRITE_TIMEOUT_S', 0.3)
    body = b'x' * 20_000_000

    async def answer(_caller, request):
        is_long = request.target == b'/x'
        return http_models.Response(200, [], body if is_long else b'short')

    http_server, connect = await serve(nursery, answer)
    stream = await connect()
    await stream.send_all(GET)
    await trio.sleep(0.5)
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(GET.replace(b'/x', b'/y'))
    data = b''
    with contextlib.suppress(trio.BrokenResourceError):
        data = await read_all(stream)
    assert b'short' not in data
    assert data.count(b'HTTP/1.1') <= 1
    assert http_server.connections == 0
