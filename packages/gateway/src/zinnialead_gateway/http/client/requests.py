"""Send requests, each at most once."""

import h11

from zinnialead_gateway.http.client import models


async def send(connection: models.Connection, request: models.Request) -> None:
    """Send a request; it may run as soon as its first byte is sent.

    Raises UnsendableError for a request that HTTP does not allow, and
    trio.BrokenResourceError if the connection breaks.
    """
    data = _encode(connection.parser, request)
    connection.sent = True
    connection.requests_sent += 1
    connection.method = request.method
    connection.received_bytes = 0
    connection.body_bytes = connection.event_count = 0
    connection.turn_work = 0.0
    await connection.stream.send_all(data)


def _encode(parser: h11.Connection, request: models.Request) -> bytes:
    headers = request.headers
    if request.body or request.method not in (b'GET', b'HEAD', b'DELETE'):
        length = str(len(request.body)).encode()
        headers = [*headers, (b'Content-Length', length)]
    try:
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [parser.send(head)]
        if request.body:
            parts.append(parser.send(h11.Data(data=request.body)))
        parts.append(parser.send(h11.EndOfMessage()))
    except h11.LocalProtocolError as error:
        raise models.UnsendableError(str(error)) from error
    return b''.join(x for x in parts if x)
