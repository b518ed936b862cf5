"""Send each of the core's store calls once."""

import dataclasses
import typing

import msgspec
import trio

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import models as core_models
from zinnialead_gateway import const
from zinnialead_gateway import dialect as dialects
from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import client
from zinnialead_gateway.http import memory as memories

# Ten times the response time of a store that is fifty times slower than the
# usual 4 ms. The core repeats calls that time out.
CALL_TIMEOUT_MS = 2_000.0
IDLE_MAX_MS = 5_000.0
JSON = (b'Content-Type', b'application/json')
EXCHANGE_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    client.ProtocolError,
    client.UnsendableError,
)


@dataclasses.dataclass(slots=True)
class Store:
    """Hold the client of the platform's store."""

    engine: engines.Engine
    dialect: dialects.Dialect
    nursery: trio.Nursery
    address: str
    pool: client.Pool


def call(store: Store, output: out.CallStore) -> None:
    """Start a call in the background; its result is fed to the core."""
    store.nursery.start_soon(_call, store, output)


class Answer(typing.NamedTuple):
    """Hold the result of a call, and the era that the store told."""

    result: core_models.Result
    era: int


async def _call(store: Store, output: out.CallStore) -> None:
    answer = await _fetch_answer(store, output.call)
    store_done = inp.StoreDone(
        output.kind, answer.result, output.call_number, answer.era
    )
    engines.feed(store.engine, store_done)


async def _fetch_answer(store: Store, call: core_models.Call) -> Answer:
    store_request = store.dialect.write_store(call)
    wait_ms = call.wait_ms if isinstance(call, core_models.WatchKind) else 0
    timeout_ms = CALL_TIMEOUT_MS + wait_ms
    headers = [(b'Host', store.address.encode())]
    if store_request.body:
        headers.append(JSON)
    request = client.Request(
        store_request.method, store_request.target, headers, store_request.body
    )
    try:
        with trio.fail_after(timeout_ms / const.MS_PER_S):
            response = await _exchange(store, request)
    except EXCHANGE_ERRORS as error:
        return Answer(_failed(call, error), 0)
    era = store.dialect.read_store_era(response.headers)
    try:
        result = store.dialect.read_store(
            call, response.status, response.headers, response.body
        )
    except (msgspec.MsgspecError, ValueError, KeyError, TypeError) as error:
        store.engine.world.counters['store.unreadable'] += 1
        result = _failed(call, error)
    finally:
        memories.release(store.pool.memory, len(response.body))
    return Answer(result, era)


def _failed(call: core_models.Call, error: Exception) -> core_models.Failed:
    return core_models.Failed(f'{type(call).__name__}: {error!r}')


async def _exchange(store: Store, request: client.Request) -> client.Response:
    connection = await client.acquire(store.pool, store.address, IDLE_MAX_MS)
    try:
        await client.send(connection, request)
        response = await client.receive(connection)
    except BaseException:
        client.close(connection)
        raise
    client.release(store.pool, connection)
    return response
