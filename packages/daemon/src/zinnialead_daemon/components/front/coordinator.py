"""Turn callers' HTTP requests into inputs and decisions into answers."""

import msgspec
import trio

from zinnialead_core.components.lookups import coordinator as lookups
from zinnialead_core.components.lookups import models as lookup_models
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_daemon.components.engine import coordinator as engines
from zinnialead_daemon.components.front import const
from zinnialead_daemon.components.front import models
from zinnialead_daemon import http

STATUS_OF: dict[verdict.Reason, int] = {
    verdict.Reason.BAD_REQUEST: 400,
    verdict.Reason.KEY_MISSING: 400,
    verdict.Reason.UNKNOWN_RANK: 400,
    verdict.Reason.UNKNOWN_SERVICE: 404,
    verdict.Reason.KEY_IN_PROGRESS: 409,
    verdict.Reason.KEY_BARRED: 409,
    verdict.Reason.QUEUE_FULL: 429,
    verdict.Reason.UPSTREAM_LOST: 502,
    verdict.Reason.DEADLINE_PASSED: 504,
}


def answer(
    front: models.Front, decision: out.Relay | out.Replay | out.Refuse
) -> None:
    """Hand the core's decision to the exchange that waits for it."""
    exchange = front.exchanges.get(decision.request_id)
    if exchange is None:
        return
    exchange.decision = decision
    exchange.decided.set()


def asgi_app(front: models.Front) -> http.AsgiApp:
    """Return the ASGI application that serves callers."""

    async def serve(
        scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        path = scope['path']
        if path == const.LOOK_UP_PATH:
            await _look_up(front, scope, send)
            return
        if path.startswith(const.REQUEST_PREFIX):
            await _request(front, scope, receive, send)
            return
        await _problem(send, 404, 'no-such-path', f'{path} is not served')

    return serve


async def _look_up(
    front: models.Front, scope: http.Scope, send: http.Send
) -> None:
    query = dict(
        pair.split('=', 1)
        for pair in scope['query_string'].decode().split('&')
        if '=' in pair
    )
    question = lookup_models.LookUp(
        service=ids.ServiceId(query.get('service', '')),
        rank=None,
        domain=query.get('domain'),
        client=query.get('client'),
    )
    engine = front.engine
    found = lookups.look_up(engine.world, engine.now_ms(), question)
    body = {
        'choices': [choice._asdict() for choice in found.choices],
        'lifetime_ms': found.lifetime_ms,
        'key_prefix': found.key_prefix,
    }
    await http.respond(send, 200, [], msgspec.json.encode(body))


async def _request(
    front: models.Front,
    scope: http.Scope,
    receive: http.Receive,
    send: http.Send,
) -> None:
    body = await _read_body(receive)
    headers = dict(scope['headers'])
    service, _, rest = scope['path'][len(const.REQUEST_PREFIX) :].partition(
        '/'
    )
    request_id = ids.RequestId(next(front.numbers))
    exchange = models.Exchange(
        scope['method'], f'/{rest}', scope['headers'], body, trio.Event()
    )
    front.exchanges[request_id] = exchange
    arrived = _arrived(front, request_id, service, headers, len(body))
    engines.feed(front.engine, arrived)
    try:
        await exchange.decided.wait()
        await _send_decision(send, exchange)
    finally:
        del front.exchanges[request_id]
        engines.feed(front.engine, inp.CallerGone(request_id))


def _arrived(
    front: models.Front,
    request_id: ids.RequestId,
    service: str,
    headers: dict[bytes, bytes],
    body_bytes: int,
) -> inp.RequestArrived:
    rank = headers.get(const.HEADER_RANK)
    key = headers.get(const.HEADER_KEY)
    left_ms = float(
        headers.get(const.HEADER_DEADLINE, const.DEADLINE_DEFAULT_MS)
    )
    return inp.RequestArrived(
        request_id=request_id,
        service=ids.ServiceId(service),
        rank=ids.RankId(rank.decode()) if rank else None,
        deadline_ms=front.engine.now_ms() + left_ms,
        key=ids.Key(key.decode()) if key else None,
        body_bytes=body_bytes,
    )


async def _read_body(receive: http.Receive) -> bytes:
    chunks = []
    more = True
    while more:
        message = await receive()
        chunks.append(message.get('body', b''))
        more = message.get('more_body', False)
    return b''.join(chunks)


async def _send_decision(send: http.Send, exchange: models.Exchange) -> None:
    match exchange.decision:
        case out.Relay(_, attempt):
            found = exchange.answers[attempt]
            ran = (const.HEADER_VERDICT, b'ran')
            headers = [*found.headers, ran]
            await http.respond(send, found.status, headers, found.body)
        case out.Replay(_, status, record):
            ran = (const.HEADER_VERDICT, b'ran')
            await http.respond(send, status, [ran], record or b'')
        case out.Refuse(_, refusal):
            status = STATUS_OF.get(refusal.reason, 503)
            seconds = max(1, round(refusal.retry_after_ms / 1000.0))
            await _problem(
                send,
                status,
                refusal.reason.value,
                refusal.detail,
                [
                    (const.HEADER_VERDICT, refusal.verdict.encode()),
                    (b'retry-after', str(seconds).encode()),
                ],
            )


async def _problem(
    send: http.Send,
    status: int,
    reason: str,
    detail: str,
    headers: http.Headers | None = None,
) -> None:
    body = {
        'type': f'urn:zinnialead:{reason}',
        'title': reason,
        'status': status,
        'detail': detail,
    }
    content = (b'content-type', const.PROBLEM_TYPE)
    await http.respond(
        send, status, [content, *(headers or [])], msgspec.json.encode(body)
    )
