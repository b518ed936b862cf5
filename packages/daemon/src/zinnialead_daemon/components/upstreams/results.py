"""Read an upstream's answer and say how the attempt ended."""

from collections import abc

import httpcore
import trio

from zinnialead_core import inputs as inp
from zinnialead_core import verdict
from zinnialead_daemon.components.engine import coordinator as engines
from zinnialead_daemon.components.front import models as front_models
from zinnialead_daemon.components.front import records
from zinnialead_daemon.components.upstreams import const
from zinnialead_daemon.components.upstreams import models

EMPTY_STATUS = {204, 304}


async def outcome(
    pools: models.Pools,
    attempt: models.Attempt,
    exchange: front_models.Exchange,
    response: httpcore.Response,
) -> verdict.Outcome:
    """Return how the attempt ended, once the answer is whole."""
    named = {name.lower(): value for name, value in response.headers}
    if response.status == const.SHED_STATUS and const.HEADER_SHED in named:
        return verdict.Shed(_retry_after_ms(named))
    if not _framed(exchange, response.status, named):
        return verdict.Lost('the answer has no length')
    parts = response.aiter_stream()
    body = b''
    async for part in parts:
        body += part
        attempt.answer_bytes += len(part)
        if len(body) > const.ANSWER_BUFFER_BYTES:
            found = front_models.UpstreamAnswer(
                response.status, response.headers, body
            )
            return await _stream(pools, attempt, exchange, found, parts)
    exchange.answers[attempt.dispatch.attempt] = front_models.UpstreamAnswer(
        response.status, response.headers, body
    )
    record = None
    if not attempt.dispatch.idempotent and len(body) <= const.RECORD_MAX_BYTES:
        record = records.encode(response.headers, body)
    return verdict.Answered(response.status, record)


async def _stream(
    pools: models.Pools,
    attempt: models.Attempt,
    exchange: front_models.Exchange,
    found: front_models.UpstreamAnswer,
    parts: abc.AsyncIterable[bytes],
) -> verdict.Outcome:
    number = attempt.dispatch.attempt
    if exchange.decision is not None or exchange.gone:
        # Nobody waits for the answer; that it is whole still counts.
        async for part in parts:
            attempt.answer_bytes += len(part)
        return verdict.Answered(found.status)
    send, rest = trio.open_memory_channel[front_models.Chunk](const.CHUNKS_MAX)
    exchange.answers[number] = found._replace(rest=rest)
    started = inp.AnswerStarted(attempt.dispatch.request_id, number)
    engines.feed(pools.engine, started)
    with send:
        try:
            async for part in parts:
                attempt.answer_bytes += len(part)
                await send.send(front_models.Chunk(part, last=False))
            await send.send(front_models.Chunk(b'', last=True))
        except trio.BrokenResourceError:
            return verdict.Lost('the caller left before the answer ended')
    return verdict.Answered(found.status)


def _framed(
    exchange: front_models.Exchange, status: int, named: dict[bytes, bytes]
) -> bool:
    if exchange.head.method == b'HEAD' or status in EMPTY_STATUS:
        return True
    return b'content-length' in named or b'transfer-encoding' in named


def _retry_after_ms(named: dict[bytes, bytes]) -> float:
    text = named.get(const.HEADER_RETRY_AFTER, b'0')
    return float(text) * const.MS_PER_S if text.isdigit() else 0.0
