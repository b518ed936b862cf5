"""Make each attempt once, and tell the core how it ended."""

import dataclasses
import typing

import trio

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_gateway import dialect as dialects
from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import client

AttemptKey = tuple[ids.RequestId, int]
BROKEN = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    client.ProtocolError,
)
# Stray answers that may come before the one that is waited for.
STRAYS_MAX = 3


class Exchange(typing.NamedTuple):
    """Hold a caller's request while it is answered."""

    head: dialects.RequestHead
    method: bytes
    target: bytes
    body: bytes


class Got(typing.NamedTuple):
    """Hold an upstream's answer and what its head says."""

    response: client.Response
    head: dialects.AnswerHead


@dataclasses.dataclass(slots=True)
class Attempt:
    """Hold an attempt that is under way."""

    dispatch: out.Dispatch
    scope: trio.CancelScope
    began_ms: float
    connection: client.Connection | None = None


@dataclasses.dataclass(slots=True)
class Upstreams:
    """Hold attempts, the requests they are for, and their answers."""

    engine: engines.Engine
    dialect: dialects.Dialect
    nursery: trio.Nursery
    pool: client.Pool
    exchanges: dict[ids.RequestId, Exchange] = dataclasses.field(
        default_factory=dict
    )
    attempts: dict[AttemptKey, Attempt] = dataclasses.field(
        default_factory=dict
    )
    answers: dict[AttemptKey, Got] = dataclasses.field(default_factory=dict)


def dispatch(parts: Upstreams, output: out.Dispatch) -> None:
    """Begin an attempt."""
    attempt = Attempt(output, trio.CancelScope(), engines.now_ms())
    parts.attempts[(output.request_id, output.attempt)] = attempt
    parts.nursery.start_soon(_run, parts, attempt)


def cancel(parts: Upstreams, output: out.CancelAttempt) -> None:
    """Cancel an attempt: its connection is closed."""
    attempt = parts.attempts.get((output.request_id, output.attempt))
    if attempt is not None:
        attempt.scope.cancel()


def forget(parts: Upstreams, request_id: ids.RequestId) -> None:
    """Drop a request that was answered."""
    parts.exchanges.pop(request_id, None)


async def _run(parts: Upstreams, attempt: Attempt) -> None:
    key = (attempt.dispatch.request_id, attempt.dispatch.attempt)
    outcome: verdict.Outcome = verdict.Lost('cancelled')
    got: Got | None = None
    with attempt.scope:
        outcome, got = await _attempt(parts, attempt)
    del parts.attempts[key]
    cancelled = attempt.scope.cancelled_caught
    connection = attempt.connection
    if connection is not None and (cancelled or got is None):
        client.close(connection)
        if cancelled and not connection.sent:
            outcome = verdict.NotSent('cancelled before it was sent')
    if got is not None:
        parts.answers[key] = got
    elapsed_ms = engines.now_ms() - attempt.began_ms
    misdirected = got is not None and got.head.misdirected
    load = got.head.load if got is not None else None
    done = inp.AttemptDone(
        *key, outcome, elapsed_ms, load, misdirected, cancelled
    )
    engines.feed(parts.engine, done)
    parts.answers.pop(key, None)


async def _attempt(
    parts: Upstreams, attempt: Attempt
) -> tuple[verdict.Outcome, Got | None]:
    dispatch = attempt.dispatch
    exchange = parts.exchanges.get(dispatch.request_id)
    if exchange is None:
        return verdict.NotSent('the caller left'), None
    try:
        connection = await client.acquire(
            parts.pool, dispatch.address, dispatch.idle_max_ms
        )
    except (OSError, ValueError, trio.TooSlowError) as error:
        return verdict.NotSent(f'{dispatch.address}: {error!r}'), None
    attempt.connection = connection
    spent_ms = engines.now_ms() - attempt.began_ms
    left_ms = int(dispatch.deadline_in_ms - spent_ms)
    if left_ms <= 0:
        client.release(parts.pool, connection)
        return verdict.NotSent('no time was left'), None
    request = client.Request(
        exchange.method,
        exchange.target,
        parts.dialect.write_request(exchange.head, dispatch.upstream, left_ms),
        exchange.body,
    )
    try:
        await client.send(connection, request)
        got = await _answer(parts, exchange, connection, request)
    except BROKEN as error:
        return verdict.Lost(f'{dispatch.address}: {error!r}'), None
    client.release(parts.pool, connection)
    return _outcome(got), got


async def _answer(
    parts: Upstreams,
    exchange: Exchange,
    connection: client.Connection,
    request: client.Request,
) -> Got:
    """Return the answer to this request, past those to earlier ones."""
    for _ in range(STRAYS_MAX):
        response = await client.receive(connection)
        head = parts.dialect.read_answer(response.status, response.headers)
        if head.name == exchange.head.name:
            return Got(response, head)
        if head.name is None and (head.not_run or not head.sealed):
            return Got(response, head)
        parts.engine.world.counters['upstreams.stray_answers'] += 1
        client.expect_another_response(connection, request)
    raise client.ProtocolError('only answers to other requests came')


def _outcome(got: Got) -> verdict.Outcome:
    """Return what an answer says of the request's effect."""
    if got.head.misdirected:
        return verdict.NotSent('another upstream has the address')
    if got.head.not_run:
        return verdict.Shed()
    if not got.head.sealed:
        return verdict.Lost(f'status {got.response.status} without a seal')
    return verdict.Answered(got.response.status)


async def unload(parts: Upstreams) -> None:
    """Close what is idle."""
    for address in list(parts.pool.idle):
        client.close_idle(parts.pool, address)
