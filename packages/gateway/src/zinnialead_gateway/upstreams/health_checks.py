"""Check the health of upstreams."""

import trio

from zinnialead_core.gateway.health_checks import models
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_gateway import dialect as dialects
from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import client
from zinnialead_gateway.http import memory as memories

TIMEOUT_S = 1.0
ERRORS = (
    OSError,
    ValueError,
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    client.ProtocolError,
    client.UnsendableError,
)


async def run(
    engine: engines.Engine,
    dialect: dialects.Dialect,
    pool: client.Pool,
    output: out.CheckHealth,
) -> None:
    """Check an upstream's health once and report the result."""
    result: models.Result = models.Unreachable('timeout')
    with trio.move_on_after(TIMEOUT_S):
        try:
            result = await _receive(dialect, pool, output)
        except ERRORS as error:
            result = models.Unreachable(repr(error))
    engines.feed(engine, inp.HealthChecked(output.upstream, result))


async def _receive(
    dialect: dialects.Dialect, pool: client.Pool, output: out.CheckHealth
) -> models.Result:
    """Check an upstream's health over a new connection; raises ``ERRORS``."""
    connection = await client.open_connection(pool, output.address)
    try:
        host_header = (b'Host', output.address.encode())
        request = client.Request(
            b'GET', output.path.encode(), [host_header], b''
        )
        await client.send(connection, request)
        response = await client.receive(connection)
    except BaseException:
        client.close(connection)
        raise
    memories.release(pool.memory, len(response.body))
    client.release(pool, connection)
    head = dialect.read_health(response.status, response.headers)
    return _to_result(output, head, response.status)


def _to_result(
    output: out.CheckHealth, head: dialects.HealthHead, status: int
) -> models.Result:
    """Return the result that a response to a health check reports."""
    if head.upstream not in (None, output.upstream):
        return models.Misdirected()
    if head.upstream is None or head.cold_ms is None:
        return models.Unclear(f'status {status}')
    return models.Answered(head.cold_ms)
