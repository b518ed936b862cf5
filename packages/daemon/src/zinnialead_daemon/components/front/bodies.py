"""Read callers' bodies, and notice callers that go away."""

import trio

from zinnialead_core import inputs as inp
from zinnialead_daemon.components.engine import coordinator as engines
from zinnialead_daemon.components.front import const
from zinnialead_daemon.components.front import models
from zinnialead_daemon import http


async def read(
    front: models.Front, exchange: models.Exchange, receive: http.Receive
) -> None:
    """Read one request's body, and then wait until its caller is gone.

    It never stops to receive, since the server waits for it.
    """
    with exchange.rest_in:
        await _read_body(exchange, receive)
    if not exchange.gone:
        await http.discard(receive)
        exchange.gone = True
    if exchange.decision is None:
        front.engine.world.counters['front.caller_gone'] += 1
        engines.feed(front.engine, inp.CallerDisconnected(exchange.request_id))


async def _read_body(exchange: models.Exchange, receive: http.Receive) -> None:
    size_bytes = 0
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            exchange.gone = True
            break
        data = message.get('body', b'')
        more = message.get('more_body', False)
        size_bytes += len(data)
        if size_bytes > exchange.body_max_bytes:
            exchange.too_large = True
            break
        await _take(exchange, models.Chunk(data, not more))
    exchange.ready.set()


async def _take(exchange: models.Exchange, chunk: models.Chunk) -> None:
    if exchange.ready.is_set():
        # The upstream takes the rest, or nobody once that is decided.
        try:
            await exchange.rest_in.send(chunk)
        except trio.BrokenResourceError:
            return
        return
    exchange.body += chunk.data
    exchange.whole = chunk.last
    if chunk.last or len(exchange.body) > const.BODY_BUFFER_BYTES:
        exchange.ready.set()
