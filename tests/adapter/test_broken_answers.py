"""Test an entry against upstreams whose answers break off."""

import functools

import pytest
import trio

from adapter import deployments
from adapter import raw_upstreams as raw
import broken
from zinnialead_gateway.http import client

HEAD = [b'Zinnialead-Request-Id: r-1', b'Zinnialead-Response-Seal: seal']
WITH_LENGTH = raw.response(200, [*HEAD, b'Content-Length: 4'], b'done')
CHUNKED = raw.response(
    200, [*HEAD, b'Transfer-Encoding: chunked'], b'4\r\ndone\r\n0\r\n\r\n'
)
UNTIL_CLOSE = raw.response(200, HEAD, b'done')
# Where the parts of an answer's head and body end.
CUTS = {
    'status line': (WITH_LENGTH, 9),
    'header name': (WITH_LENGTH, WITH_LENGTH.index(b'Seal')),
    'header line': (WITH_LENGTH, WITH_LENGTH.index(b'Content-Length')),
    'length': (WITH_LENGTH, WITH_LENGTH.index(b': 4') + 2),
    'blank line': (WITH_LENGTH, WITH_LENGTH.index(raw.BLANK_LINE) + 2),
    'no body': (WITH_LENGTH, len(WITH_LENGTH) - 4),
    'half a body': (WITH_LENGTH, len(WITH_LENGTH) - 2),
    'chunk length': (CHUNKED, CHUNKED.index(b'4\r\ndone') + 1),
    'chunk': (CHUNKED, CHUNKED.index(b'ne\r\n0')),
    'last chunk': (CHUNKED, CHUNKED.index(b'0\r\n\r\n')),
    'end of chunks': (CHUNKED, len(CHUNKED) - 2),
    'head without a length': (UNTIL_CLOSE, UNTIL_CLOSE.index(b'\r\n\r\n') + 3),
}


async def break_off(data, end, exchange):
    exchange.upstream.ran.append(exchange.request.name)
    await broken.send_part(exchange.stream, data, end)


@pytest.mark.parametrize('end', broken.ENDS)
@pytest.mark.parametrize('cut', CUTS)
async def test_an_answer_that_breaks_off_is_no_success(nursery, cut, end):
    """Nor is it said of the work that it has not run, nor run again."""
    data, offset = CUTS[cut]
    respond = functools.partial(break_off, data[:offset], end)
    _, upstreams, settings, _ = await raw.deploy(
        nursery, respond, respond, kind='non_idempotent'
    )
    answer = await deployments.ask(settings.front_bind, method=b'POST')
    assert answer.status == 502
    assert b'done' not in answer.body
    assert sum(len(upstream.ran) for upstream in upstreams) == 1


async def test_an_answer_without_a_length_that_is_reset_is_no_success(
    nursery,
):
    respond = functools.partial(break_off, UNTIL_CLOSE, 'reset')
    _, _, settings, _ = await raw.deploy(
        nursery, respond, kind='non_idempotent'
    )
    answer = await deployments.ask(settings.front_bind, method=b'POST')
    assert answer.status == 502


async def test_an_answer_that_breaks_off_is_sent_again_if_idempotent(nursery):
    async def respond(is_first, exchange):
        if is_first.pop('is', False):
            await break_off(WITH_LENGTH[:30], 'close', exchange)
        else:
            await raw.run(exchange)

    respond = functools.partial(respond, {'is': True})
    _, upstreams, settings, _ = await raw.deploy(nursery, respond, respond)
    answer = await deployments.ask(settings.front_bind)
    assert (answer.status, answer.body) == (200, b'done')
    assert sum(len(upstream.ran) for upstream in upstreams) == 2


@pytest.mark.parametrize('end', broken.ENDS)
@pytest.mark.parametrize('data', [WITH_LENGTH, CHUNKED])
async def test_no_part_of_an_answer_is_received_as_a_whole(nursery, data, end):
    parts = [data[:offset] for offset in broken.offsets(data)]

    async def handle(stream):
        await stream.receive_some(65_536)
        await broken.send_part(stream, parts.pop(), end)

    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, handle, 0, host='127.0.0.1')
    )
    port = listeners[0].socket.getsockname()[1]
    pool = client.Pool(tcp_keepalive=False)
    request = client.Request(b'GET', b'/x', [(b'Host', b'a')], b'')
    while parts:
        connection = await client.open_connection(pool, f'127.0.0.1:{port}')
        await client.send(connection, request)
        with pytest.raises(
            (client.ProtocolError, OSError, trio.BrokenResourceError)
        ):
            await client.receive(connection)
        client.close(connection)
