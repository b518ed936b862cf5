"""Serve work the way upstreams do, with injected faults."""

import functools

import msgspec
import trio

from zinnialead_daemon import http
from zinnialead_standins.upstream import const
from zinnialead_standins.upstream import models

SHED = (const.HEADER_SHED, b'1')
REFUSED_STATUS = 503


def asgi_app(upstream: models.Upstream) -> http.AsgiApp:
    """Return the ASGI application of one upstream."""
    return functools.partial(_serve, upstream)


def now_ms() -> float:
    """Return the current time of trio, whose clock may be simulated."""
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
            await _respond(upstream, send, _poll_status(upstream), [], b'')
        case const.LOAD_PATH:
            await _respond(upstream, send, 200, [], _load_report(upstream))
        case const.CANCEL_PATH:
            reply = _cancel(upstream, headers.get(const.HEADER_REQUEST, b''))
            await _respond(upstream, send, 200, [], reply)
        case _:
            body = await http.read_body(receive, const.BODY_MAX_BYTES)
            if body is not None:
                await _serve_work(upstream, headers, send)


async def _respond(
    upstream: models.Upstream,
    send: http.Send,
    status: int,
    headers: http.Headers,
    body: bytes,
) -> None:
    announced = _announcement(upstream, status)
    await http.respond(send, status, [*headers, *announced], body)


def _announcement(upstream: models.Upstream, status: int) -> http.Headers:
    match upstream.behaviour:
        case models.Draining():
            return [(const.HEADER_LEAVING, b'1')]
        case models.Pausing(pause_ms) if status == REFUSED_STATUS:
            pause_s = f'{pause_ms / const.MS_PER_S:.3f}'
            return [(const.HEADER_PAUSE, pause_s.encode())]
        case _:
            return []


def _poll_status(upstream: models.Upstream) -> int:
    match upstream.behaviour:
        case models.Draining() | models.Pausing():
            return REFUSED_STATUS
        case _:
            return 200


def _load_report(upstream: models.Upstream) -> bytes:
    match upstream.report:
        case models.TrueLoad():
            in_flight = upstream.in_flight
        case models.FixedLoad(in_flight):
            pass
    leaving = isinstance(upstream.behaviour, models.Draining)
    load = {'in_flight': in_flight, 'leaving': leaving}
    return msgspec.json.encode(load)


def _cancel(upstream: models.Upstream, request: bytes) -> bytes:
    if upstream.requests.get(request) is models.Phase.STARTED:
        return const.STARTED
    # A request that has not arrived yet is also kept from starting.
    _remember(upstream, request, models.Phase.CANCELLED)
    return const.NEVER_STARTED


async def _serve_work(
    upstream: models.Upstream,
    headers: dict[bytes, bytes],
    send: http.Send,
) -> None:
    request = headers.get(const.HEADER_REQUEST, b'')
    refuses = isinstance(upstream.behaviour, models.Draining | models.Pausing)
    if refuses or upstream.in_flight >= upstream.profile.slots:
        await _shed(upstream, request, send)
        return
    upstream.in_flight += 1
    upstream.peak_in_flight = max(upstream.peak_in_flight, upstream.in_flight)
    try:
        if not await _may_start(upstream, request, headers):
            await _shed(upstream, request, send)
            return
        _start(upstream, headers, request)
        await trio.sleep(_service_time_ms(upstream) / const.MS_PER_S)
        if isinstance(upstream.behaviour, models.Silent):
            await trio.sleep_forever()
    finally:
        upstream.in_flight -= 1
    await _send_answer(upstream, headers, send)


async def _may_start(
    upstream: models.Upstream, request: bytes, headers: dict[bytes, bytes]
) -> bool:
    if upstream.requests.get(request) is models.Phase.CANCELLED:
        return False
    _remember(upstream, request, models.Phase.WAITING)
    delay_ms = upstream.profile.start_delay_ms
    if delay_ms:
        await trio.sleep(delay_ms / const.MS_PER_S)
    remaining_ms = float(headers.get(const.HEADER_DEADLINE, b'inf'))
    cancelled = upstream.requests.get(request) is models.Phase.CANCELLED
    return remaining_ms > delay_ms and not cancelled


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
    profile = upstream.profile
    if profile.service_time_ms <= 0.0:
        return 0.0
    mean_ms = profile.service_time_ms
    if upstream.started <= profile.cold_runs:
        mean_ms *= profile.cold_factor
    return upstream.random.expovariate(1.0 / mean_ms)


async def _shed(
    upstream: models.Upstream, request: bytes, send: http.Send
) -> None:
    upstream.shed += 1
    echo = (const.HEADER_REQUEST, request)
    await _respond(upstream, send, REFUSED_STATUS, [SHED, echo], b'')


async def _send_answer(
    upstream: models.Upstream, headers: dict[bytes, bytes], send: http.Send
) -> None:
    work = headers.get(const.HEADER_WORK, b'')
    body = work + b' ' + upstream.name.encode()
    body = body.ljust(upstream.profile.answer_bytes, b'.')
    response_headers = [
        (b'content-type', b'text/plain'),
        (b'content-length', str(len(body)).encode()),
        (const.HEADER_WORK, work),
        (const.HEADER_REQUEST, headers.get(const.HEADER_REQUEST, b'')),
        *_announcement(upstream, 200),
    ]
    if isinstance(upstream.behaviour, models.Truncating):
        await http.start_response(send, 200, response_headers)
        message = {'type': 'http.response.body', 'more_body': True}
        await send({**message, 'body': body[: -const.TRUNCATED_BYTES]})
        return
    await http.respond(send, 200, response_headers, body)


def _remember(
    upstream: models.Upstream, request: bytes, phase: models.Phase
) -> None:
    if len(upstream.requests) >= const.REQUESTS_REMEMBERED_MAX:
        del upstream.requests[next(iter(upstream.requests))]
    upstream.requests[request] = phase
