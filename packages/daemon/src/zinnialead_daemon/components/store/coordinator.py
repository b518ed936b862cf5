"""Make the core's calls to the store, each one without retries."""

import contextlib

import httpcore
import msgspec
import trio

import zinnialead_config as config
from zinnialead_config import objects
from zinnialead_core.components import store
from zinnialead_core.components.store import const as store_const
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.store import const
from zinnialead_daemon.components.store import documents
from zinnialead_daemon.components.store import models
from zinnialead_daemon import http


def set_up(
    engine: engine_models.Engine,
    nursery: trio.Nursery,
    addresses: tuple[str, ...],
) -> models.Client:
    """Return a client without connections."""
    pool = httpcore.AsyncConnectionPool(
        max_connections=const.CONNECTIONS_MAX,
        retries=0,
        network_backend=http.Backend(),
    )
    return models.Client(engine, nursery, addresses, pool)


async def unload(client: models.Client) -> None:
    """Close the connections."""
    await client.pool.aclose()


def call(client: models.Client, output: out.CallStore) -> None:
    """Start a call without blocking; its result is fed to the core."""
    client.nursery.start_soon(_call, client, output)


async def _call(client: models.Client, output: out.CallStore) -> None:
    name = output.call.name
    if not client.addresses:
        _feed(client, output, store.Failed(name, 'no address is set'))
        return
    if client.open_calls >= const.OPEN_CALLS_MAX:
        client.engine.world.counters['store.too_many_open'] += 1
        _feed(client, output, store.Refused(name, const.MS_PER_S))
        return
    client.open_calls += 1
    try:
        answer = await _request(client, output)
    finally:
        client.open_calls -= 1
    match answer:
        case models.Answer():
            _process_answer(client, output, answer)
        case store.Failed():
            # The next call tries the next address.
            client.address_index += 1
            _feed(client, output, answer)


async def _request(
    client: models.Client, output: out.CallStore
) -> models.Answer | store.Failed:
    name = output.call.name
    left_ms = output.deadline_ms - client.engine.now_ms()
    timeout_s = max(0.0, left_ms / const.MS_PER_S)
    request = documents.request(output.call, timeout_s)
    address = client.addresses[client.address_index % len(client.addresses)]
    try:
        with trio.fail_after(timeout_s):
            return await _exchange(client, address, request)
    except trio.TooSlowError:
        return store.Failed(name, f'{address}: no answer in {timeout_s:.1f} s')
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        ValueError,
    ) as error:
        return store.Failed(name, f'{address}: {http.describe(error)}')


async def _exchange(
    client: models.Client, address: str, request: models.Request
) -> models.Answer:
    headers = [(b'content-type', b'application/json')] if request.body else []
    async with client.pool.stream(
        request.method,
        f'http://{address}{request.path}',
        headers=headers,
        content=request.body,
    ) as response:
        body_parts = http.body_parts(response, const.ANSWER_MAX_BYTES)
        async with contextlib.aclosing(body_parts) as parts:
            body = b''.join([part async for part in parts])
    fields = {name.lower(): value for name, value in response.headers}
    return models.Answer(
        response.status,
        body,
        _parse_retry_after_s(fields.get(b'retry-after', b'0')),
        _parse_era(fields.get(objects.HEADER_ERA, b'0')),
    )


def _parse_retry_after_s(value: bytes) -> float:
    """Return the seconds of a ``Retry-After`` header, or 0 for a date.

    >>> _parse_retry_after_s(b'7')
    7.0
    """
    if not value.isdigit():
        return 0.0
    return min(float(value), const.RETRY_AFTER_MAX_S)


def _parse_era(value: bytes) -> int:
    """Return the era in a header, or 0 for what is no era.

    >>> _parse_era(b'7'), _parse_era(b'-7')
    (7, 0)
    """
    is_valid = value.isdigit() and len(value) <= const.ERA_DIGITS_MAX
    return int(value) if is_valid else 0


def _process_answer(
    client: models.Client, output: out.CallStore, answer: models.Answer
) -> None:
    """Feed the result of a call and the data in its answer to the core."""
    try:
        result = documents.result(output.call, answer)
        inputs = _carried_inputs(client, result, answer)
    except (msgspec.MsgspecError, ValueError) as error:
        client.engine.world.counters['store.malformed'] += 1
        result = store.Failed(output.call.name, f'malformed: {error}')
        inputs = []
    _feed(client, output, result, *inputs, era=answer.era)


def _carried_inputs(
    client: models.Client, result: store.Result, answer: models.Answer
) -> list[inp.Input]:
    match result:
        case store.Listed():
            return list(documents.listed(answer.body))
        case store.Found(name, value) if name == store_const.STATE_OBJECT:
            decoded = config.decode_state(value)
            if decoded.is_ok():
                return [inp.StateRead(decoded.ok, answer.era)]
            client.engine.world.counters['store.state_damaged'] += 1
    return []


def _feed(
    client: models.Client,
    output: out.CallStore,
    result: store.Result,
    *inputs: inp.Input,
    era: int = 0,
) -> None:
    store_done = inp.StoreDone(output.call_id, result, era)
    engines.feed(client.engine, *inputs, store_done)
