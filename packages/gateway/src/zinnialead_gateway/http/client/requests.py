"""Send requests, each at most once."""

import h11

from zinnialead_gateway.http.client import models


async def send(connection: models.Connection, request: models.Request) -> None:
    """Send a request; it may run as soon as its first byte is sent."""
    parser = connection.parser
    headers = request.headers
    if request.body or request.method not in (b'GET', b'HEAD', b'DELETE'):
        length = str(len(request.body)).encode()
        headers = [*headers, (b'Content-Length', length)]
    head = h11.Request(
        method=request.method, target=request.target, headers=headers
    )
    parts = [parser.send(head)]
    if request.body:
        parts.append(parser.send(h11.Data(data=request.body)))
    parts.append(parser.send(h11.EndOfMessage()))
    connection.sent = True
    connection.requests_sent += 1
    connection.method = request.method
    connection.received_bytes = 0
    connection.body_bytes = connection.event_count = 0
    connection.turn_work = 0.0
    await connection.stream.send_all(b''.join(x for x in parts if x))
