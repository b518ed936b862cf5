"""Send each attempt to its upstream once and report its outcome."""

import dataclasses
import functools
import typing

import trio

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.placement import models as placement
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_gateway import dialect as dialects
from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import client
from zinnialead_gateway.http import memory as memories
from zinnialead_gateway.upstreams import health_checks

AttemptKey = tuple[ids.RequestId, int]
CONNECT_ERRORS = (OSError, ValueError, trio.TooSlowError)
CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    client.ProtocolError,
)
# Responses to earlier requests that are skipped before giving up.
STRAY_RESPONSES_MAX = 3


class CallerRequest(typing.NamedTuple):
    """Hold a caller's request until it is answered."""

    head: dialects.RequestHead
    method: bytes
    target: bytes
    body: bytes


class UpstreamResponse(typing.NamedTuple):
    """Hold an upstream's response and its decoded head."""

    response: client.Response
    head: dialects.ResponseHead


@dataclasses.dataclass(slots=True)
class Attempt:
    """Hold an attempt in progress."""

    dispatch: out.Dispatch
    scope: trio.CancelScope
    started_ms: float
    connection: client.Connection | None = None


@dataclasses.dataclass(slots=True)
class Upstreams:
    """Hold the attempts, their requests and their responses."""

    engine: engines.Engine
    dialect: dialects.Dialect
    nursery: trio.Nursery
    pool: client.Pool
    requests: dict[ids.RequestId, CallerRequest] = dataclasses.field(
        default_factory=dict
    )
    attempts: dict[AttemptKey, Attempt] = dataclasses.field(
        default_factory=dict
    )
    responses: dict[AttemptKey, UpstreamResponse] = dataclasses.field(
        default_factory=dict
    )


def set_up(
    engine: engines.Engine,
    dialect: dialects.Dialect,
    nursery: trio.Nursery,
    memory: memories.Memory,
) -> Upstreams:
    """Start the upstreams' client without open connections.

    ``memory`` is for the bodies of responses until they are passed on.
    """
    pool = client.Pool(
        tcp_keepalive=False,
        memory=memory,
        on_stray_bytes=functools.partial(_report_stray_bytes, engine),
        on_early_end=functools.partial(_report_early_end, engine),
    )
    nursery.start_soon(client.watch_idle, pool)
    return Upstreams(engine, dialect, nursery, pool)


def dispatch(upstreams: Upstreams, output: out.Dispatch) -> None:
    """Start an attempt."""
    attempt = Attempt(output, trio.CancelScope(), engines.now_ms())
    upstreams.attempts[(output.request_id, output.attempt)] = attempt
    upstreams.nursery.start_soon(_run_attempt, upstreams, attempt)


def cancel(upstreams: Upstreams, output: out.CancelAttempt) -> None:
    """Cancel an attempt and close its connection."""
    attempt = upstreams.attempts.get((output.request_id, output.attempt))
    if attempt is not None:
        attempt.scope.cancel()


def check_health(upstreams: Upstreams, output: out.CheckHealth) -> None:
    """Start a health check."""
    upstreams.nursery.start_soon(
        health_checks.run,
        upstreams.engine,
        upstreams.dialect,
        upstreams.pool,
        output,
    )


def discard(upstreams: Upstreams, request_id: ids.RequestId) -> None:
    """Discard an answered request."""
    upstreams.requests.pop(request_id, None)


def take_response(
    upstreams: Upstreams, request_id: ids.RequestId, attempt: int
) -> UpstreamResponse | None:
    """Return an attempt's response; the caller releases its body."""
    return upstreams.responses.pop((request_id, attempt), None)


def release_body(upstreams: Upstreams, received: UpstreamResponse) -> None:
    """Release the memory of a response's body."""
    memories.release(upstreams.pool.memory, len(received.response.body))


async def _run_attempt(upstreams: Upstreams, attempt: Attempt) -> None:
    key = (attempt.dispatch.request_id, attempt.dispatch.attempt)
    outcome: verdict.Outcome = verdict.Lost('cancelled')
    received: UpstreamResponse | None = None
    with attempt.scope:
        outcome, received = await _send_and_receive(upstreams, attempt)
    del upstreams.attempts[key]
    cancelled = attempt.scope.cancelled_caught
    connection = attempt.connection
    if connection is not None and (cancelled or received is None):
        client.close(connection)
        if cancelled and not connection.sent:
            outcome = verdict.NotSent('cancelled before it was sent')
    if received is not None:
        upstreams.responses[key] = received
        _report_notices(upstreams, attempt.dispatch, received.head)
        _count_unreadable_loads(upstreams.engine, received.head)
    elapsed_ms = engines.now_ms() - attempt.started_ms
    misdirected = received is not None and received.head.misdirected
    load = received.head.load if received is not None else None
    attempt_done = inp.AttemptDone(
        *key, outcome, elapsed_ms, load, misdirected, cancelled
    )
    engines.feed(upstreams.engine, attempt_done)
    unused = upstreams.responses.pop(key, None)
    if unused is not None:
        release_body(upstreams, unused)


async def _send_and_receive(
    upstreams: Upstreams, attempt: Attempt
) -> tuple[verdict.Outcome, UpstreamResponse | None]:
    dispatch = attempt.dispatch
    caller_request = upstreams.requests.get(dispatch.request_id)
    if caller_request is None:
        return verdict.NotSent('the caller left'), None
    try:
        connection = await _connect(
            upstreams, dispatch, caller_request.head.name
        )
    except CONNECT_ERRORS as error:
        return verdict.NotSent(f'{dispatch.address}: {error!r}'), None
    attempt.connection = connection
    spent_ms = engines.now_ms() - attempt.started_ms
    left_ms = int(dispatch.deadline_in_ms - spent_ms)
    if left_ms <= 0:
        client.release(upstreams.pool, connection)
        return verdict.NotSent('no time was left'), None
    request = client.Request(
        caller_request.method,
        caller_request.target,
        upstreams.dialect.write_request(
            caller_request.head, dispatch.upstream, left_ms
        ),
        caller_request.body,
    )
    try:
        await client.send(connection, request)
        received = await _receive_response(
            upstreams, caller_request, connection, request
        )
    except client.UnsendableError as error:
        return verdict.Unsendable(str(error)), None
    except CONNECTION_ERRORS as error:
        return _lose(upstreams.engine, dispatch.address, error), None
    if received.head.not_run or received.head.misdirected:
        connection.refused_ids.add(caller_request.head.name)
    client.release(upstreams.pool, connection)
    return _to_outcome(received), received


async def _connect(
    upstreams: Upstreams, dispatch: out.Dispatch, name: str
) -> client.Connection:
    """Return a connection on which an answer is certain to be recognised."""
    pool, address = upstreams.pool, dispatch.address
    try:
        if not name:
            return await client.open_connection(pool, address)
        return await client.acquire(pool, address, dispatch.idle_max_ms, name)
    except CONNECT_ERRORS as error:
        _report_disconnected(upstreams.engine, address, error)
        raise


async def _receive_response(
    upstreams: Upstreams,
    caller_request: CallerRequest,
    connection: client.Connection,
    request: client.Request,
) -> UpstreamResponse:
    """Receive the response to a request; skip those to earlier ones."""
    for _ in range(STRAY_RESPONSES_MAX):
        response_head = await client.receive_head(connection)
        head = upstreams.dialect.read_response(
            response_head.status, response_head.headers
        )
        is_answer = _is_answer(head, caller_request.head.name, connection)
        if not is_answer:
            stray = placement.StrayAnswer()
            _report_fault(upstreams.engine, connection.address, stray)
        if not is_answer and not response_head.has_length:
            raise client.ProtocolError('a stray response without an end')
        if is_answer:
            body = await client.receive_body(connection)
            response = client.Response(
                response_head.status, response_head.headers, body
            )
            return UpstreamResponse(response, head)
        await client.skip_body(connection)
        client.expect_another_response(connection, request)
    raise client.EndlessError('only answers to other requests came')


def _report_notices(
    upstreams: Upstreams, dispatch: out.Dispatch, head: dialects.ResponseHead
) -> None:
    for notice in head.notices:
        announced = inp.UpstreamAnnounced(
            dispatch.upstream,
            dispatch.address,
            head.misdirected,
            notice,
            head.name or '',
        )
        engines.feed(upstreams.engine, announced)


def _count_unreadable_loads(
    engine: engines.Engine, head: dialects.ResponseHead
) -> None:
    if head.unreadable_loads:
        name = 'upstreams.unreadable_loads'
        engine.world.counters[name] += head.unreadable_loads


def _report_stray_bytes(engine: engines.Engine, address: str) -> None:
    _report_fault(engine, address, placement.StrayBytes())


def _report_early_end(engine: engines.Engine, address: str) -> None:
    cause = 'an idle connection ended early'
    engines.feed(engine, inp.UpstreamDisconnected(address, cause))


def _report_disconnected(
    engine: engines.Engine, address: str, error: Exception
) -> None:
    engines.feed(engine, inp.UpstreamDisconnected(address, repr(error)))


def _report_fault(
    engine: engines.Engine, address: str, fault: placement.Fault
) -> None:
    engines.feed(engine, inp.UpstreamFaulty(address, fault))


def _lose(
    engine: engines.Engine, address: str, error: Exception
) -> verdict.Lost:
    """Return the outcome of an exchange that failed; report its fault."""
    fault = _to_fault(error)
    if fault is not None:
        _report_fault(engine, address, fault)
    elif not isinstance(error, trio.ClosedResourceError):
        _report_disconnected(engine, address, error)
    return verdict.Lost(f'{address}: {error!r}')


def _to_fault(error: Exception) -> placement.Fault | None:
    """Return the fault that an error shows, None for a lost connection."""
    match error:
        case client.MalformedError():
            return placement.MalformedAnswer(str(error))
        case client.EndlessError():
            return placement.EndlessAnswer(str(error))
        case _:
            return None


def _is_answer(
    head: dialects.ResponseHead, name: str, connection: client.Connection
) -> bool:
    """Return whether a response answers the connection's latest request.

    Without an id, a response to the first request can be to no other one.
    On later requests a refusal may be an earlier one once more, and what is
    neither a refusal nor sealed counts as lost.
    """
    if head.name is not None:
        return head.name == name
    if head.not_run or head.misdirected:
        return connection.requests_sent == 1
    return not head.sealed


def _to_outcome(received: UpstreamResponse) -> verdict.Outcome:
    """Return the outcome that a response reports."""
    if received.head.misdirected:
        return verdict.NotSent('another upstream has the address')
    if received.head.not_run:
        return verdict.Shed()
    if not received.head.sealed:
        return verdict.Lost(
            f'status {received.response.status} without a seal'
        )
    return verdict.Answered(received.response.status)


async def unload(upstreams: Upstreams) -> None:
    """Close all idle connections."""
    for address in list(upstreams.pool.idle):
        client.close_idle(upstreams.pool, address)
