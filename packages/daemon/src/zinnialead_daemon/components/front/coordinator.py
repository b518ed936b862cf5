"""Feed callers' HTTP requests to the core and send its decisions back."""

import functools
import typing

import expression
import trio

from zinnialead_core.components.requests import admission
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_daemon.components.engine import coordinator as engines
from zinnialead_daemon.components.front import answers
from zinnialead_daemon.components.front import bodies
from zinnialead_daemon.components.front import const
from zinnialead_daemon.components.front import look_ups
from zinnialead_daemon.components.front import models
from zinnialead_daemon.components.front import parsing
from zinnialead_daemon import http

EXCHANGES_FULL = http.Problem(
    503, 'exchanges-full', 'too many requests in hand', 1000.0
)


def answer(front: models.Front, decision: models.Decision) -> None:
    """Pass a decision of the core to the exchange that waits for it."""
    exchange = front.exchanges.get(decision.request_id)
    if exchange is None or exchange.decision is not None:
        return
    exchange.decision = decision
    exchange.decided.set()


def stop(front: models.Front) -> None:
    """Wait for no body any more: the core refuses what it is fed."""
    front.stopping.set()
    for exchange in front.exchanges.values():
        exchange.body_ready.set()


def record_cut(front: models.Front) -> None:
    """Log and count the requests whose answers the end of a stop cuts."""
    for request_id in front.exchanges:
        front.engine.world.counters['front.answers_cut'] += 1
        cut = out.LogChange(
            'front',
            '.'.join(map(str, (*front.engine.world.node.ref, request_id))),
            'answering',
            'cut by the end of the process',
        )
        front.engine.handlers['log_change'](cut)


def asgi_app(front: models.Front) -> http.AsgiApp:
    """Return the ASGI application that serves callers."""
    return functools.partial(_serve, front)


async def _serve(
    front: models.Front,
    scope: http.Scope,
    receive: http.Receive,
    send: http.Send,
) -> None:
    if not front.open_calls:
        front.idle = trio.Event()
    front.open_calls += 1
    try:
        await _serve_call(front, scope, receive, send)
    finally:
        front.open_calls -= 1
        if not front.open_calls:
            front.idle.set()


async def _serve_call(
    front: models.Front,
    scope: http.Scope,
    receive: http.Receive,
    send: http.Send,
) -> None:
    send = functools.partial(_send, front, send)
    path = scope['raw_path']
    if path == const.LOOK_UP_PATH:
        await look_ups.serve(front, scope, receive, send)
        return
    if path.startswith(const.REQUEST_PREFIX):
        await _serve_request(front, scope, receive, send)
        return
    front.engine.world.counters['front.no_such_path'] += 1
    problem = http.Problem(404, 'no-such-path', 'this path is not served')
    await _reject(receive, send, problem)


async def _send(
    front: models.Front, send: http.Send, message: dict[str, typing.Any]
) -> None:
    """Send a message; while the entry stops, answers end connections."""
    if front.stopping.is_set() and message['type'] == 'http.response.start':
        headers = [*message['headers'], const.CLOSE_HEADER]
        message = {**message, 'headers': headers}
    await send(message)


async def _serve_request(
    front: models.Front,
    scope: http.Scope,
    receive: http.Receive,
    send: http.Send,
) -> None:
    counters = front.engine.world.counters
    match parsing.request_head(scope, front.bounds):
        case expression.Result(tag='ok', ok=head):
            limit_problem = _limit_problem(front, head)
            if limit_problem is EXCHANGES_FULL:
                counters['front.exchanges_full'] += 1
                run_verdict = admission.unchecked_verdict(
                    front.engine.world, head.service, head.key
                )
                await _reject(receive, send, limit_problem, run_verdict)
                return
            if limit_problem is not None:
                counters['front.body_too_large'] += 1
                await _reject(receive, send, limit_problem)
                return
            await _run_exchange(front, head, receive, send)
        case expression.Result(error=problem):
            counters['front.bad_request'] += 1
            await _reject(receive, send, problem)


def _limit_problem(
    front: models.Front, head: models.RequestHead
) -> http.Problem | None:
    if len(front.exchanges) >= front.bounds.exchanges_max:
        return EXCHANGES_FULL
    limit_bytes = _body_max_bytes(front, head)
    if head.length_bytes is not None and head.length_bytes > limit_bytes:
        detail = f'{head.length_bytes} bytes, at most {limit_bytes}'
        return http.Problem(413, 'body-too-large', detail)
    return None


def _body_max_bytes(front: models.Front, head: models.RequestHead) -> int:
    service = front.engine.world.states['in-force'].services.get(head.service)
    if service is None:
        return const.BODY_BUFFER_BYTES
    return min(service.body_max_bytes, const.BODY_MAX_BYTES)


async def _reject(
    receive: http.Receive,
    send: http.Send,
    problem: http.Problem,
    run_verdict: verdict.Verdict = verdict.Verdict.NOT_RUN,
) -> None:
    headers = [(const.HEADER_VERDICT, run_verdict.encode())]
    async with trio.open_nursery() as nursery:
        # The server blocks until the received body is consumed.
        nursery.start_soon(http.discard, receive)
        await http.send_problem(send, problem, headers)
        nursery.cancel_scope.cancel()


async def _run_exchange(
    front: models.Front,
    head: models.RequestHead,
    receive: http.Receive,
    send: http.Send,
) -> None:
    exchange = _new_exchange(front, head)
    front.exchanges[exchange.request_id] = exchange
    started_ms = front.engine.now_ms()
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(bodies.read, front, exchange, receive)
            await _await_decision(front, exchange)
            exchange.rest_receiver.close()
            await _send_answer(front, exchange, send)
            nursery.cancel_scope.cancel()
    finally:
        del front.exchanges[exchange.request_id]
        elapsed_ms = front.engine.now_ms() - started_ms
        rank = head.rank or const.RANK_NOT_GIVEN
        front.timings.append(models.TimingRow(rank, elapsed_ms))


def _new_exchange(
    front: models.Front, head: models.RequestHead
) -> models.Exchange:
    rest_sender, rest_receiver = trio.open_memory_channel[models.Chunk](
        const.CHUNKS_MAX
    )
    body_ready = trio.Event()
    if front.stopping.is_set():
        body_ready.set()
    return models.Exchange(
        request_id=ids.RequestId(next(front.request_ids)),
        head=head,
        body_ready=body_ready,
        decided=trio.Event(),
        rest_sender=rest_sender,
        rest_receiver=rest_receiver,
        body_max_bytes=_body_max_bytes(front, head),
    )


async def _await_decision(
    front: models.Front, exchange: models.Exchange
) -> None:
    started_ms = front.engine.now_ms()
    left_ms = exchange.head.left_ms
    with trio.move_on_after(left_ms / const.MS_PER_S):
        await exchange.body_ready.wait()
    deadline_ms = started_ms + left_ms
    if not exchange.body_ready.is_set():
        front.engine.world.counters['front.body_late'] += 1
        deadline_ms = started_ms
    if exchange.body_too_large:
        front.engine.world.counters['front.body_too_large'] += 1
        answer(front, out.Refuse(exchange.request_id, answers.BODY_TOO_LARGE))
    if exchange.disconnected or exchange.decision is not None:
        return
    engines.feed(front.engine, _arrival(exchange, deadline_ms))
    grace_ms = left_ms + const.UNDECIDED_GRACE_MS
    with trio.move_on_after(grace_ms / const.MS_PER_S):
        await exchange.decided.wait()


async def _send_answer(
    front: models.Front, exchange: models.Exchange, send: http.Send
) -> None:
    if exchange.disconnected:
        return
    if exchange.decision is None:
        front.engine.world.counters['front.undecided'] += 1
        engines.feed(front.engine, inp.CallerDisconnected(exchange.request_id))
        await answers.refuse(send, answers.UNDECIDED)
        return
    await answers.send_decision(send, exchange, exchange.decision)


def _arrival(
    exchange: models.Exchange, deadline_ms: float
) -> inp.RequestArrived:
    head = exchange.head
    length_bytes = head.length_bytes
    if length_bytes is None:
        length_bytes = len(exchange.body)
    return inp.RequestArrived(
        request_id=exchange.request_id,
        service=head.service,
        rank=head.rank,
        deadline_ms=deadline_ms,
        key=head.key,
        key_created_ms=head.key_created_ms,
        body_bytes=length_bytes,
        replayable=exchange.body_complete,
    )
