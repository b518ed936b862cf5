"""Translate callers' requests to inputs and outputs to responses."""

import dataclasses
import functools
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
class PendingRequest:
    """Hold a request that waits for its response."""

    head: dialects.RequestHead
    done: trio.Event
    started_ms: float
    response: http_models.Response | None = None


@dataclasses.dataclass(slots=True)
class Front:
    """Hold the requests that have no response yet."""

    engine: engines.Engine
    dialect: dialects.Dialect
    upstreams: upstreams.Upstreams
    pending: dict[ids.RequestId, PendingRequest] = dataclasses.field(
        default_factory=dict
    )
    request_numbers: 'itertools.count[int]' = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )


async def handle(
    front: Front, caller: http_models.Caller, request: http_models.Request
) -> http_models.Response | None:
    """Handle a caller's request; return None if the caller disconnects."""
    target = request.target.decode('latin-1')
    try:
        head = front.dialect.read_request(target, request.headers)
    except ValueError as error:
        front.engine.world.counters['front.bad_requests'] += 1
        return refusal_response(front, 400, str(error))
    request_id = ids.RequestId(next(front.request_numbers))
    pending = PendingRequest(head, trio.Event(), engines.now_ms())
    front.pending[request_id] = pending
    front.upstreams.requests[request_id] = upstreams.CallerRequest(
        head, request.method, request.target, request.body
    )
    caller.on_disconnect = lambda: _handle_disconnect(front, request_id)
    try:
        engines.feed(front.engine, _to_input(request_id, head, request))
        if caller.closed and pending.response is None:
            _handle_disconnect(front, request_id)
        await pending.done.wait()
    except BaseException:
        if pending.response is not None:
            pending.response.discard()
        raise
    finally:
        front.pending.pop(request_id, None)
        upstreams.discard(front.upstreams, request_id)
    return pending.response


def relay(front: Front, output: out.Relay) -> None:
    """Send the caller its upstream's response."""
    pending = front.pending.get(output.request_id)
    if pending is None:
        return
    received = upstreams.take_response(
        front.upstreams, output.request_id, output.attempt
    )
    if received is None:
        return
    pending.response = http_models.Response(
        received.response.status,
        received.head.headers,
        received.response.body,
        functools.partial(upstreams.release_body, front.upstreams, received),
    )
    pending.done.set()


def refuse(front: Front, output: out.Refuse) -> None:
    """Send the caller a refusal."""
    pending = front.pending.get(output.request_id)
    if pending is None:
        return
    head = front.dialect.write_refusal(pending.head, output.refusal)
    body = f'{output.refusal.reason.value}: {output.refusal.detail}\n'
    pending.response = http_models.Response(
        head.status,
        [*head.headers, (b'Content-Type', b'text/plain; charset=utf-8')],
        body.encode(),
    )
    pending.done.set()


def refusal_response(
    front: Front, status: int, reason: str
) -> http_models.Response:
    """Return the response to a request that was not passed to the core."""
    if status == 503:
        not_run = admission.not_run_refusal(verdict.Reason.QUEUE_FULL, reason)
        headers = front.dialect.write_refusal(None, not_run).headers
        return http_models.Response(status, headers, f'{reason}\n'.encode())
    return http_models.Response(status, [], f'{reason}\n'.encode())


def limits(front: Front) -> http_models.Limits:
    """Return the limits of the active configuration."""
    configured = routes.limits(front.engine.world)
    return http_models.Limits(
        configured.header_bytes_max,
        configured.body_bytes_max,
        configured.header_timeout_ms / const.MS_PER_S,
        configured.idle_timeout_ms / const.MS_PER_S,
    )


def _to_input(
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


def _handle_disconnect(front: Front, request_id: ids.RequestId) -> None:
    """Report a disconnected caller to the core once and end its wait."""
    pending = front.pending.get(request_id)
    if pending is None or pending.done.is_set():
        return
    pending.done.set()
    engines.feed(front.engine, inp.CallerDisconnected(request_id))
