"""Build the HTTP requests to upstreams."""

from collections import abc
import functools

import httpcore
import trio

from zinnialead_daemon.components.front import models as front_models
from zinnialead_daemon.components.upstreams import const
from zinnialead_daemon.components.upstreams import models
from zinnialead_daemon import http

SENDING_STARTED_EVENT = 'http11.send_request_headers.started'
METHODS_WITHOUT_BODY = {b'GET', b'HEAD', b'DELETE', b'OPTIONS', b'TRACE'}
Extensions = dict[str, object]


class BodyCutError(Exception):
    """Signal that the caller's body ended before it was complete."""


def request(
    attempt: models.Attempt,
    exchange: front_models.Exchange,
    left_ms: float,
    time_limit_ms: float,
) -> httpcore.Request:
    """Return the HTTP request of an attempt."""
    dispatch = attempt.dispatch
    headers = [
        *exchange.head.headers,
        (const.HEADER_DEADLINE, str(int(left_ms)).encode()),
        (const.HEADER_REQUEST, attempt.wire_id),
    ]
    outgoing = httpcore.Request(
        exchange.head.method,
        url(dispatch.address, exchange.head.target),
        headers=[*headers, *_framing_headers(exchange)],
        content=_request_body(exchange),
        extensions=extensions(time_limit_ms),
    )
    outgoing.headers.insert(0, (b'Host', dispatch.address.encode()))
    outgoing.extensions['trace'] = functools.partial(_trace, attempt)
    return outgoing


def url(address: str, target: bytes) -> httpcore.URL:
    """Return the URL of a target at ``host:port``, with its bytes unchanged.

    >>> bytes(url('127.0.0.1:80', b'/a%20b?c'))
    b'http://127.0.0.1:80/a%20b?c'
    """
    host, _, port = address.rpartition(':')
    return httpcore.URL(
        scheme=b'http', host=host.encode(), port=int(port), target=target
    )


def extensions(left_ms: float) -> Extensions:
    """Return the timeouts of a call that must end within ``left_ms``."""
    left_s = left_ms / const.MS_PER_S
    connect_s = min(left_s, const.CONNECT_TIMEOUT_MS / const.MS_PER_S)
    timeouts = {
        'connect': connect_s,
        'pool': connect_s,
        'read': left_s,
        'write': left_s,
    }
    return {'timeout': timeouts}


def _framing_headers(exchange: front_models.Exchange) -> http.Headers:
    length_bytes = exchange.head.length_bytes
    if exchange.body_complete:
        length_bytes = len(exchange.body)
    if length_bytes is None:
        return [(b'Transfer-Encoding', b'chunked')]
    if length_bytes == 0 and exchange.head.method in METHODS_WITHOUT_BODY:
        return []
    return [(b'Content-Length', str(length_bytes).encode())]


def _request_body(
    exchange: front_models.Exchange,
) -> bytes | abc.AsyncIterator[bytes]:
    if exchange.body_complete:
        return exchange.body
    return _stream_body(exchange)


async def _stream_body(
    exchange: front_models.Exchange,
) -> abc.AsyncIterator[bytes]:
    yield exchange.body
    while True:
        try:
            chunk = await exchange.rest_receiver.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError) as error:
            raise BodyCutError('the caller left') from error
        yield chunk.data
        if chunk.is_last:
            return


async def _trace(attempt: models.Attempt, event: str, _: object) -> None:
    if event == SENDING_STARTED_EVENT:
        attempt.sent = True
