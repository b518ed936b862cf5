"""Read an upstream's response and classify the attempt's outcome."""

from collections import abc
import contextlib
import re

import httpcore
import trio

from zinnialead_core import inputs as inp
from zinnialead_core import verdict
from zinnialead_daemon.components.engine import coordinator as engines
from zinnialead_daemon.components.front import models as front_models
from zinnialead_daemon.components.front import records
from zinnialead_daemon.components.upstreams import announcements
from zinnialead_daemon.components.upstreams import const
from zinnialead_daemon.components.upstreams import models
from zinnialead_daemon import http

STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-5][0-9][0-9]')
STATUSES_WITHOUT_BODY = {204, 304}


async def outcome(
    pools: models.Pools,
    attempt: models.Attempt,
    exchange: front_models.Exchange,
    response: httpcore.Response,
) -> verdict.Outcome:
    """Return the outcome of the attempt once the response is complete."""
    headers = {name.lower(): value for name, value in response.headers}
    if not _is_answer(attempt, response, headers):
        pools.engine.world.counters['upstreams.stray_answers'] += 1
        return verdict.Lost('an answer to another request came')
    dispatch = attempt.dispatch
    announcements.feed(
        pools,
        dispatch.upstream,
        dispatch.address,
        attempt.wire_id.decode(),
        response,
    )
    if response.status == const.SHED_STATUS and const.HEADER_SHED in headers:
        return verdict.Shed(_retry_after_ms(headers))
    if not _has_framing(exchange, response.status, headers):
        return verdict.Lost('the answer has no length')
    body = http.body_parts(response, const.ANSWER_MAX_BYTES)
    async with contextlib.aclosing(body) as parts:
        return await _receive_answer(pools, attempt, exchange, response, parts)


async def _receive_answer(
    pools: models.Pools,
    attempt: models.Attempt,
    exchange: front_models.Exchange,
    response: httpcore.Response,
    parts: abc.AsyncIterable[bytes],
) -> verdict.Outcome:
    body = bytearray()
    async for part in parts:
        attempt.answer_bytes += len(part)
        body += part
        if len(body) > const.ANSWER_BUFFER_BYTES:
            answer = front_models.UpstreamAnswer(
                response.status, response.headers, bytes(body)
            )
            return await _stream_answer(
                pools, attempt, exchange, answer, parts
            )
    exchange.answers[attempt.dispatch.attempt] = front_models.UpstreamAnswer(
        response.status, response.headers, bytes(body)
    )
    record = None
    if not attempt.dispatch.idempotent and len(body) <= const.RECORD_MAX_BYTES:
        record = records.encode(response.headers, bytes(body))
    return verdict.Answered(response.status, record)


async def _stream_answer(
    pools: models.Pools,
    attempt: models.Attempt,
    exchange: front_models.Exchange,
    answer: front_models.UpstreamAnswer,
    parts: abc.AsyncIterable[bytes],
) -> verdict.Outcome:
    attempt_number = attempt.dispatch.attempt
    if exchange.decision is not None or exchange.disconnected:
        # Nobody waits for the answer, but the outcome depends on whether
        # it is complete.
        async for part in parts:
            attempt.answer_bytes += len(part)
        return verdict.Answered(answer.status)
    sender, receiver = trio.open_memory_channel[front_models.Chunk](
        const.CHUNKS_MAX
    )
    exchange.answers[attempt_number] = answer._replace(rest_receiver=receiver)
    answer_started = inp.AnswerStarted(
        attempt.dispatch.request_id, attempt_number
    )
    engines.feed(pools.engine, answer_started)
    with sender:
        try:
            async for part in parts:
                attempt.answer_bytes += len(part)
                await sender.send(front_models.Chunk(part, is_last=False))
            await sender.send(front_models.Chunk(b'', is_last=True))
        except trio.BrokenResourceError:
            return verdict.Lost('the caller left before the answer ended')
    return verdict.Answered(answer.status)


def _is_answer(
    attempt: models.Attempt,
    response: httpcore.Response,
    headers: dict[bytes, bytes],
) -> bool:
    """Return whether a response answers the attempt's request.

    An upstream may write an earlier answer once more on a connection. Its id
    shows that; without one, only the first answer on a connection is certain,
    so that the connection is not used again.
    """
    stream = response.extensions['network_stream']
    stream.answer_count += 1
    is_first = stream.answer_count == 1
    request_id = headers.get(const.HEADER_REQUEST)
    if request_id == attempt.wire_id:
        return is_first or not _has_two_heads(response)
    stream.is_spent = True
    return request_id is None and is_first


def _has_two_heads(response: httpcore.Response) -> bool:
    """Return whether an earlier answer was cut off within its head.

    It merges with the next answer, whose status line becomes a part of a
    header or of the reason phrase.
    """
    reason = response.extensions['reason_phrase']
    texts = [reason, *(value for _, value in response.headers)]
    return any(STATUS_LINE.search(text) for text in texts)


def _has_framing(
    exchange: front_models.Exchange, status: int, headers: dict[bytes, bytes]
) -> bool:
    if exchange.head.method == b'HEAD' or status in STATUSES_WITHOUT_BODY:
        return True
    return b'content-length' in headers or b'transfer-encoding' in headers


def _retry_after_ms(headers: dict[bytes, bytes]) -> float:
    text = headers.get(const.HEADER_RETRY_AFTER, b'0')
    return float(text) * const.MS_PER_S if text.isdigit() else 0.0
