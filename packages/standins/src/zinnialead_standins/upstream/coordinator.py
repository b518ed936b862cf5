"""Serve work the way upstreams do, with their faults."""

import functools

import msgspec
import trio

from zinnialead_daemon import http
from zinnialead_standins.upstream import const
from zinnialead_standins.upstream import models

SHED = (const.HEADER_SHED, b'1')


def asgi_app(upstream: models.Upstream) -> http.AsgiApp:
    """Return the ASGI application of one upstream."""
    return functools.partial(_serve, upstream)


def now_ms() -> float:
    """Return the time of this run of trio, under a mock clock too."""
    return trio.current_time() * const.MS_PER_S


async def _serve(
    upstream: models.Upstream,
    scope: http.Scope,
    receive: http.Receive,
    send: http.Send,
) -> None:
    headers = dict(scope['headers'])
    match scope['path']:
        case const.HEALTH_PATH:
            leaving = isinstance(upstream.behaviour, models.Draining)
            await http.respond(send, 503 if leaving else 200, [], b'')
        case const.LOAD_PATH:
            await http.respond(send, 200, [], _load(upstream))
        case const.CANCEL_PATH:
            said = _cancel(upstream, headers.get(const.HEADER_REQUEST, b''))
            await http.respond(send, 200, [], said)
        case _:
            body = await http.read_body(receive, const.BODY_MAX_BYTES)
            if body is not None:
                await _work(upstream, headers, send)


def _load(upstream: models.Upstream) -> bytes:
    match upstream.report:
        case models.Honest():
            in_flight = upstream.in_flight
        case models.Frozen(in_flight):
            pass
    leaving = isinstance(upstream.behaviour, models.Draining)
    load = {'in_flight': in_flight, 'leaving': leaving}
    return msgspec.json.encode(load)


def _cancel(upstream: models.Upstream, request: bytes) -> bytes:
    if upstream.requests.get(request) is models.Phase.STARTED:
        return const.STARTED
    # Also a request that has not come yet will not start any more.
    _remember(upstream, request, models.Phase.CANCELLED)
    return const.NEVER_STARTED


async def _work(
    upstream: models.Upstream,
    headers: dict[bytes, bytes],
    send: http.Send,
) -> None:
    request = headers.get(const.HEADER_REQUEST, b'')
    draining = isinstance(upstream.behaviour, models.Draining)
    if draining or upstream.in_flight >= upstream.plan.slots:
        await _shed(upstream, send)
        return
    upstream.in_flight += 1
    upstream.most_in_flight = max(upstream.most_in_flight, upstream.in_flight)
    try:
        if not await _may_start(upstream, request, headers):
            await _shed(upstream, send)
            return
        _start(upstream, headers, request)
        await trio.sleep(_service_time_ms(upstream) / const.MS_PER_S)
        if isinstance(upstream.behaviour, models.Silent):
            await trio.sleep_forever()
    finally:
        upstream.in_flight -= 1
    await _answer(upstream, headers, send)


async def _may_start(
    upstream: models.Upstream, request: bytes, headers: dict[bytes, bytes]
) -> bool:
    if upstream.requests.get(request) is models.Phase.CANCELLED:
        return False
    _remember(upstream, request, models.Phase.WAITING)
    delay_ms = upstream.plan.start_delay_ms
    if delay_ms:
        await trio.sleep(delay_ms / const.MS_PER_S)
    left_ms = float(headers.get(const.HEADER_DEADLINE, b'inf'))
    cancelled = upstream.requests.get(request) is models.Phase.CANCELLED
    return left_ms > delay_ms and not cancelled


def _start(
    upstream: models.Upstream, headers: dict[bytes, bytes], request: bytes
) -> None:
    _remember(upstream, request, models.Phase.STARTED)
    upstream.started += 1
    upstream.last_start_ms = now_ms()
    key = headers.get(const.HEADER_KEY, b'').decode()
    work = headers.get(const.HEADER_WORK, b'').decode() or key
    if work:
        run = models.RunRow(work, key, upstream.name, now_ms())
        upstream.ledger.runs.setdefault(work, []).append(run)


def _service_time_ms(upstream: models.Upstream) -> float:
    plan = upstream.plan
    if plan.service_time_ms <= 0.0:
        return 0.0
    mean_ms = plan.service_time_ms
    if upstream.started <= plan.cold_runs:
        mean_ms *= plan.cold_factor
    return upstream.random.expovariate(1.0 / mean_ms)


async def _shed(upstream: models.Upstream, send: http.Send) -> None:
    upstream.shed += 1
    await http.respond(send, 503, [SHED], b'')


async def _answer(
    upstream: models.Upstream, headers: dict[bytes, bytes], send: http.Send
) -> None:
    work = headers.get(const.HEADER_WORK, b'')
    body = work + b' ' + upstream.name.encode()
    body = body.ljust(upstream.plan.answer_bytes, b'.')
    head = [
        (b'content-type', b'text/plain'),
        (b'content-length', str(len(body)).encode()),
        (const.HEADER_WORK, work),
    ]
    if isinstance(upstream.behaviour, models.Cutting):
        await http.start_response(send, 200, head)
        part = {'type': 'http.response.body', 'more_body': True}
        await send({**part, 'body': body[: -const.CUT_BYTES]})
        return
    await http.respond(send, 200, head, body)


def _remember(
    upstream: models.Upstream, request: bytes, phase: models.Phase
) -> None:
    if len(upstream.requests) >= const.REQUESTS_REMEMBERED_MAX:
        del upstream.requests[next(iter(upstream.requests))]
    upstream.requests[request] = phase
