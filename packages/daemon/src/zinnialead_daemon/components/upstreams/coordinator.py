"""Run attempts at upstreams and report their outcomes."""

import httpcore
import trio

from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_daemon.components.engine import coordinator as engines
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.front import models as front_models
from zinnialead_daemon.components.upstreams import announcements
from zinnialead_daemon.components.upstreams import calls
from zinnialead_daemon.components.upstreams import const
from zinnialead_daemon.components.upstreams import models
from zinnialead_daemon.components.upstreams import results
from zinnialead_daemon import http

STATUS_OK = 200
TRANSPORT_ERRORS = (
    calls.BodyCutError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def new_pools(
    engine: engine_models.Engine, front: front_models.Front
) -> models.Pools:
    """Return an entry's pools, without open connections."""
    # Cancellations carry no id in their answers, so that an earlier promise
    # not to start could be repeated on a kept connection.
    cancel_pool = httpcore.AsyncConnectionPool(
        max_connections=const.CANCEL_CONNECTIONS_MAX,
        max_keepalive_connections=0,
        network_backend=http.Backend(const.REPORT_MAX_BYTES),
    )
    poll_pool = _new_pool(
        const.POLL_CONNECTIONS_MAX, http.Backend(const.REPORT_MAX_BYTES)
    )
    return models.Pools(engine, front, {}, poll_pool, cancel_pool, {})


async def run_attempt(pools: models.Pools, dispatch: out.Dispatch) -> None:
    """Send a request to an upstream and feed the outcome to the core."""
    started_ms = pools.engine.now_ms()
    ref = pools.engine.world.node.ref
    id_parts = (*ref, dispatch.request_id, dispatch.attempt)
    wire_id = '.'.join(map(str, id_parts)).encode()
    left_s = _time_limit_ms(pools, dispatch) / const.MS_PER_S
    scope = trio.CancelScope(deadline=trio.current_time() + left_s)
    attempt = models.Attempt(dispatch, wire_id, scope)
    attempt_id = models.AttemptId(dispatch.request_id, dispatch.attempt)
    pools.attempts[attempt_id] = attempt
    try:
        outcome = await _send_attempt(pools, attempt)
    finally:
        del pools.attempts[attempt_id]
    dispatch_done = inp.DispatchDone(
        dispatch.request_id,
        dispatch.attempt,
        outcome,
        pools.engine.now_ms() - started_ms,
        attempt.answer_bytes,
    )
    engines.feed(pools.engine, dispatch_done)


async def cancel_attempt(
    pools: models.Pools, output: out.CancelDispatch
) -> None:
    """Cancel an attempt; its task still reports the outcome.

    Work that must run at most once is cancelled only if the upstream
    promises not to start it; otherwise the attempt still waits for its
    answer.
    """
    attempt_id = models.AttemptId(output.request_id, output.attempt)
    attempt = pools.attempts.get(attempt_id)
    if attempt is None:
        return
    if attempt.sent and not attempt.dispatch.idempotent:
        attempt.never_started = await _request_cancellation(pools, attempt)
        if not attempt.never_started:
            return
    attempt.scope.cancel()


async def close(pools: models.Pools) -> None:
    """Close every connection."""
    await pools.poll_pool.aclose()
    await pools.cancel_pool.aclose()
    for pool in pools.by_address.values():
        await pool.aclose()


def connections_max(pools: models.Pools, dispatch: out.Dispatch) -> int:
    """Return the limit of connections from this entry to an upstream."""
    state = pools.engine.world.states['in-force']
    row = state.upstreams.get(dispatch.upstream)
    return row.connections_max if row else const.CONNECTIONS_DEFAULT


async def _send_attempt(
    pools: models.Pools, attempt: models.Attempt
) -> verdict.Outcome:
    dispatch = attempt.dispatch
    exchange = pools.front.exchanges.get(dispatch.request_id)
    left_ms = dispatch.deadline_ms - pools.engine.now_ms()
    if exchange is None or left_ms <= 0:
        return verdict.NotSent('the caller left or the deadline passed')
    with attempt.scope:
        try:
            return await _exchange_messages(pools, attempt, exchange, left_ms)
        except TRANSPORT_ERRORS as error:
            detail = f'{dispatch.address}: {http.describe(error)}'
            if attempt.sent:
                return verdict.Lost(detail, http.is_faulty(error))
            return verdict.NotSent(detail)
    return await _cancelled_outcome(pools, attempt)


async def _cancelled_outcome(
    pools: models.Pools, attempt: models.Attempt
) -> verdict.Outcome:
    if not attempt.sent:
        return verdict.NotSent('cancelled before it was sent')
    if attempt.never_started or await _request_cancellation(pools, attempt):
        return verdict.NeverStarted()
    address = attempt.dispatch.address
    return verdict.Lost(f'{address}: cancelled while in flight')


async def _exchange_messages(
    pools: models.Pools,
    attempt: models.Attempt,
    exchange: front_models.Exchange,
    left_ms: float,
) -> verdict.Outcome:
    request = calls.request(
        attempt, exchange, left_ms, _time_limit_ms(pools, attempt.dispatch)
    )
    response = await _pool(pools, attempt.dispatch).handle_async_request(
        request
    )
    try:
        return await results.outcome(pools, attempt, exchange, response)
    finally:
        await response.aclose()


async def _request_cancellation(
    pools: models.Pools, attempt: models.Attempt
) -> bool:
    """Ask the upstream not to start; return whether it promises that."""
    upstream, address = attempt.dispatch.upstream, attempt.dispatch.address
    with trio.move_on_after(const.CANCEL_TIMEOUT_MS / const.MS_PER_S):
        try:
            response = await pools.cancel_pool.request(
                'POST',
                calls.url(address, const.CANCEL_PATH),
                headers=[(const.HEADER_REQUEST, attempt.wire_id)],
                extensions=calls.extensions(const.CANCEL_TIMEOUT_MS),
            )
        except TRANSPORT_ERRORS:
            return False
        name = f'cancel of {attempt.wire_id.decode()}'
        announcements.feed(pools, upstream, address, name, response)
        return (
            response.status == STATUS_OK
            and response.content == const.NEVER_STARTED
        )
    return False


def _time_limit_ms(pools: models.Pools, dispatch: out.Dispatch) -> float:
    left_ms = dispatch.deadline_ms - pools.engine.now_ms()
    return left_ms + (
        0.0 if dispatch.idempotent else const.COMPLETION_GRACE_MS
    )


def _pool(
    pools: models.Pools, dispatch: out.Dispatch
) -> httpcore.AsyncConnectionPool:
    pool = pools.by_address.get(dispatch.address)
    if pool is None:
        pool = _new_pool(connections_max(pools, dispatch), http.Backend())
        pools.by_address[dispatch.address] = pool
    return pool


def _new_pool(
    connections_max: int, backend: http.Backend
) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=connections_max,
        keepalive_expiry=const.KEEP_ALIVE_S,
        network_backend=backend,
    )
