"""Turn callers' requests into inputs, and outputs into answers."""

import dataclasses
import itertools

import trio

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.requests import admission
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_gateway import const
from zinnialead_gateway import dialect as dialects
from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import models as http_models
from zinnialead_gateway.upstreams import coordinator as upstreams


@dataclasses.dataclass(slots=True)
class Open:
    """Hold a request that waits for its answer."""

    head: dialects.RequestHead
    done: trio.Event
    began_ms: float
    answer: http_models.Response | None = None


@dataclasses.dataclass(slots=True)
class Front:
    """Hold the requests that callers wait for."""

    engine: engines.Engine
    dialect: dialects.Dialect
    parts: upstreams.Upstreams
    open: dict[ids.RequestId, Open] = dataclasses.field(default_factory=dict)
    numbers: 'itertools.count[int]' = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )


async def handle(
    front: Front, caller: http_models.Caller, request: http_models.Request
) -> http_models.Response | None:
    """Return the answer to a caller's request."""
    target = request.target.decode('latin-1')
    try:
        head = front.dialect.read_request(target, request.headers)
    except ValueError as error:
        front.engine.world.counters['front.bad_requests'] += 1
        return refusal(front, 400, str(error))
    request_id = ids.RequestId(next(front.numbers))
    waiting = Open(head, trio.Event(), engines.now_ms())
    front.open[request_id] = waiting
    front.parts.exchanges[request_id] = upstreams.Exchange(
        head, request.method, request.target, request.body
    )
    caller.on_disconnect = lambda: _left(front, request_id)
    try:
        engines.feed(front.engine, _arrival(request_id, head, request))
        if caller.closed and waiting.answer is None:
            _left(front, request_id)
        await waiting.done.wait()
    finally:
        front.open.pop(request_id, None)
        upstreams.forget(front.parts, request_id)
    return waiting.answer


def relay(front: Front, output: out.Relay) -> None:
    """Give the caller its upstream's answer."""
    waiting = front.open.get(output.request_id)
    got = front.parts.answers.get((output.request_id, output.attempt))
    if waiting is None or got is None:
        return
    waiting.answer = http_models.Response(
        got.response.status, got.head.headers, got.response.body
    )
    waiting.done.set()


def refuse(front: Front, output: out.Refuse) -> None:
    """Give the caller a refusal."""
    waiting = front.open.get(output.request_id)
    if waiting is None:
        return
    head = front.dialect.write_refusal(waiting.head, output.refusal)
    body = f'{output.refusal.reason.value}: {output.refusal.detail}\n'
    waiting.answer = http_models.Response(
        head.status,
        [*head.headers, (b'Content-Type', b'text/plain; charset=utf-8')],
        body.encode(),
    )
    waiting.done.set()


def refusal(front: Front, status: int, reason: str) -> http_models.Response:
    """Return the refusal of what is no request; nothing was sent of it."""
    if status == 503:
        told = admission.not_run_refusal(verdict.Reason.QUEUE_FULL, reason)
        headers = front.dialect.write_refusal(None, told).headers
        return http_models.Response(status, headers, f'{reason}\n'.encode())
    return http_models.Response(status, [], f'{reason}\n'.encode())


def limits(front: Front) -> http_models.Limits:
    """Return what the configuration in force lets callers send."""
    known = routes.limits(front.engine.world)
    return http_models.Limits(
        known.header_bytes_max,
        known.body_bytes_max,
        known.header_timeout_ms / const.MS_PER_S,
        known.idle_timeout_ms / const.MS_PER_S,
    )


def _arrival(
    request_id: ids.RequestId,
    head: dialects.RequestHead,
    request: http_models.Request,
) -> inp.RequestArrived:
    return inp.RequestArrived(
        request_id,
        head.name,
        head.host,
        head.path,
        head.object_key,
        head.deadline_in_ms,
        len(request.body),
    )


def _left(front: Front, request_id: ids.RequestId) -> None:
    """Tell the core that a caller left, once, and end its wait."""
    waiting = front.open.get(request_id)
    if waiting is None or waiting.done.is_set():
        return
    waiting.done.set()
    engines.feed(front.engine, inp.CallerDisconnected(request_id))
