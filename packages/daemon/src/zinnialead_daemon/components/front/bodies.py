"""Read request bodies and detect callers that disconnect."""

import trio

from zinnialead_core import inputs as inp
from zinnialead_daemon.components.engine import coordinator as engines
from zinnialead_daemon.components.front import const
from zinnialead_daemon.components.front import models
from zinnialead_daemon import http


async def read(
    front: models.Front, exchange: models.Exchange, receive: http.Receive
) -> None:
    """Read the body of a request, then wait for its caller to disconnect.

    Keeps receiving throughout, since the server blocks until its messages
    are received.
    """
    with exchange.rest_sender:
        await _read_body(exchange, receive)
    if not exchange.disconnected:
        await http.discard(receive)
        exchange.disconnected = True
    if exchange.decision is None:
        front.engine.world.counters['front.caller_gone'] += 1
        engines.feed(front.engine, inp.CallerDisconnected(exchange.request_id))


async def _read_body(exchange: models.Exchange, receive: http.Receive) -> None:
    size_bytes = 0
    has_more = True
    while has_more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            exchange.disconnected = True
            break
        data = message.get('body', b'')
        has_more = message.get('more_body', False)
        size_bytes += len(data)
        if size_bytes > exchange.body_max_bytes:
            exchange.body_too_large = True
            break
        await _accept_chunk(exchange, models.Chunk(data, not has_more))
    exchange.body_ready.set()


async def _accept_chunk(
    exchange: models.Exchange, chunk: models.Chunk
) -> None:
    if exchange.body_ready.is_set():
        # An attempt reads the rest of the body; once the request is
        # decided, nobody does and the channel is closed.
        try:
            await exchange.rest_sender.send(chunk)
        except trio.BrokenResourceError:
            return
        return
    exchange.body += chunk.data
    exchange.body_complete = chunk.is_last
    if chunk.is_last or len(exchange.body) > const.BODY_BUFFER_BYTES:
        exchange.body_ready.set()
