"""Make one attempt at an upstream and report how it ended."""

import httpcore

from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_daemon.components.engine import coordinator as engines
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.front import models as front_models
from zinnialead_daemon.components.upstreams import const
from zinnialead_daemon.components.upstreams import models


def new_pools(
    engine: engine_models.Engine, front: front_models.Front
) -> models.Pools:
    """Return an entry's pools, none of them open yet."""
    return models.Pools(engine, front, {})


async def attempt(pools: models.Pools, dispatch: out.Dispatch) -> None:
    """Send one request and tell the core how the attempt ended."""
    started_ms = pools.engine.now_ms()
    outcome = await _send(pools, dispatch)
    done = inp.DispatchDone(
        dispatch.request_id,
        dispatch.attempt,
        outcome,
        pools.engine.now_ms() - started_ms,
    )
    engines.feed(pools.engine, done)


async def _send(
    pools: models.Pools, dispatch: out.Dispatch
) -> verdict.Outcome:
    exchange = pools.front.exchanges.get(dispatch.request_id)
    left_ms = dispatch.deadline_ms - pools.engine.now_ms()
    if exchange is None or left_ms <= 0:
        return verdict.NotSent('the caller left or the deadline passed')
    left_s = left_ms / const.MS_PER_S
    timeouts = dict.fromkeys(('connect', 'read', 'write', 'pool'), left_s)
    try:
        response = await _pool(pools, dispatch.address).request(
            exchange.method,
            f'http://{dispatch.address}{exchange.path}',
            headers=[
                *exchange.headers,
                (const.HEADER_DEADLINE, str(int(left_ms)).encode()),
            ],
            content=exchange.body,
            extensions={'timeout': timeouts},
        )
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
        return verdict.NotSent(f'{dispatch.address}: {error}')
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        return verdict.Lost(f'{dispatch.address}: {error!r}')
    return _outcome(exchange, dispatch.attempt, response)


def _outcome(
    exchange: front_models.Exchange,
    attempt_number: int,
    response: httpcore.Response,
) -> verdict.Outcome:
    headers = dict(response.headers)
    if response.status == 503 and const.HEADER_SHED in headers:
        return verdict.Shed()
    body = response.content
    exchange.answers[attempt_number] = front_models.UpstreamAnswer(
        response.status, response.headers, body
    )
    small = len(body) <= const.RECORD_MAX_BYTES
    return verdict.Answered(response.status, body if small else None)


def _pool(pools: models.Pools, address: str) -> httpcore.AsyncConnectionPool:
    if address not in pools.by_address:
        pools.by_address[address] = httpcore.AsyncConnectionPool()
    return pools.by_address[address]
