"""Make one attempt at an upstream and report how it ended."""

import httpcore
import trio

from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_daemon.components.engine import coordinator as engines
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.front import models as front_models
from zinnialead_daemon.components.upstreams import calls
from zinnialead_daemon.components.upstreams import const
from zinnialead_daemon.components.upstreams import models
from zinnialead_daemon.components.upstreams import results

OK = 200
FAILURES = (
    calls.BodyCutError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def new_pools(
    engine: engine_models.Engine, front: front_models.Front
) -> models.Pools:
    """Return an entry's pools, none of them open yet."""
    polls = _new_pool(const.POLL_CONNECTIONS_MAX)
    return models.Pools(engine, front, {}, polls, {})


async def attempt(pools: models.Pools, dispatch: out.Dispatch) -> None:
    """Send one request and tell the core how the attempt ended."""
    started_ms = pools.engine.now_ms()
    ref = pools.engine.world.node.ref
    parts = (*ref, dispatch.request_id, dispatch.attempt)
    name = '.'.join(map(str, parts)).encode()
    left_s = _patience_ms(pools, dispatch) / const.MS_PER_S
    scope = trio.CancelScope(deadline=trio.current_time() + left_s)
    made = models.Attempt(dispatch, name, scope)
    attempt_id = models.AttemptId(dispatch.request_id, dispatch.attempt)
    pools.attempts[attempt_id] = made
    try:
        outcome = await _send(pools, made)
    finally:
        del pools.attempts[attempt_id]
    done = inp.DispatchDone(
        dispatch.request_id,
        dispatch.attempt,
        outcome,
        pools.engine.now_ms() - started_ms,
        made.answer_bytes,
    )
    engines.feed(pools.engine, done)


async def cancel(pools: models.Pools, output: out.CancelDispatch) -> None:
    """Cancel an attempt; its task reports what became of it.

    Work that must run at most once is cut off only where the upstream
    promises not to start it; else it is heard out.
    """
    attempt_id = models.AttemptId(output.request_id, output.attempt)
    made = pools.attempts.get(attempt_id)
    if made is None:
        return
    if made.sent and not made.dispatch.idempotent:
        made.never_started = await _never_starts(pools, made)
        if not made.never_started:
            return
    made.scope.cancel()


async def close(pools: models.Pools) -> None:
    """Close every connection."""
    await pools.polls.aclose()
    for pool in pools.by_address.values():
        await pool.aclose()


def connections(pools: models.Pools, dispatch: out.Dispatch) -> int:
    """Return how many connections this entry may hold to an upstream."""
    state = pools.engine.world.states['in-force']
    row = state.upstreams.get(dispatch.upstream)
    return row.connections_max if row else const.CONNECTIONS_DEFAULT


async def _send(pools: models.Pools, made: models.Attempt) -> verdict.Outcome:
    dispatch = made.dispatch
    exchange = pools.front.exchanges.get(dispatch.request_id)
    left_ms = dispatch.deadline_ms - pools.engine.now_ms()
    if exchange is None or left_ms <= 0:
        return verdict.NotSent('the caller left or the deadline passed')
    with made.scope:
        try:
            return await _exchange(pools, made, exchange, left_ms)
        except FAILURES as error:
            detail = f'{dispatch.address}: {error!r}'
            if made.sent:
                return verdict.Lost(detail)
            return verdict.NotSent(detail)
    return await _cancelled(pools, made)


async def _cancelled(
    pools: models.Pools, made: models.Attempt
) -> verdict.Outcome:
    if not made.sent:
        return verdict.NotSent('cancelled before it was sent')
    if made.never_started or await _never_starts(pools, made):
        return verdict.NeverStarted()
    address = made.dispatch.address
    return verdict.Lost(f'{address}: cancelled while in flight')


async def _exchange(
    pools: models.Pools,
    made: models.Attempt,
    exchange: front_models.Exchange,
    left_ms: float,
) -> verdict.Outcome:
    request = calls.request(
        made, exchange, left_ms, _patience_ms(pools, made.dispatch)
    )
    response = await _pool(pools, made.dispatch).handle_async_request(request)
    try:
        return await results.outcome(pools, made, exchange, response)
    finally:
        await response.aclose()


async def _never_starts(pools: models.Pools, made: models.Attempt) -> bool:
    """Tell the upstream to cancel; return whether it promised to."""
    address = made.dispatch.address
    with trio.move_on_after(const.CANCEL_TIMEOUT_MS / const.MS_PER_S):
        try:
            answer = await pools.polls.request(
                'POST',
                calls.url(address, const.CANCEL_PATH),
                headers=[(const.HEADER_REQUEST, made.name)],
                extensions=calls.extensions(const.CANCEL_TIMEOUT_MS),
            )
        except FAILURES:
            return False
        return answer.status == OK and answer.content == const.NEVER_STARTED
    return False


def _patience_ms(pools: models.Pools, dispatch: out.Dispatch) -> float:
    left_ms = dispatch.deadline_ms - pools.engine.now_ms()
    return left_ms + (0.0 if dispatch.idempotent else const.HEAR_OUT_MS)


def _pool(
    pools: models.Pools, dispatch: out.Dispatch
) -> httpcore.AsyncConnectionPool:
    known = pools.by_address.get(dispatch.address)
    if known is None:
        known = _new_pool(connections(pools, dispatch))
        pools.by_address[dispatch.address] = known
    return known


def _new_pool(connections_max: int) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=connections_max,
        keepalive_expiry=const.KEEP_ALIVE_S,
    )
