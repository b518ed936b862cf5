"""Serve raw bytes to an entry in place of its upstreams' answers."""

from collections import abc
import dataclasses
import functools

import trio

BLANK_LINE = b'\r\n\r\n'
HEALTHY = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


@dataclasses.dataclass
class Exchange:
    """Hold a request, its connection and the ids before it there."""

    upstream: 'RawUpstream'
    stream: trio.SocketStream
    path: str
    request_id: str
    earlier_ids: list[str]
    connection: int


Respond = abc.Callable[[Exchange], abc.Awaitable[None]]


@dataclasses.dataclass
class RawUpstream:
    """Hold what an upstream answers and what it has received.

    ``polls`` is whether the answer to polls is replaced too; ``closed`` is
    set when a connection on which work was received has ended.
    """

    respond: Respond
    polls: bool = False
    paths: list[str] = dataclasses.field(default_factory=list)
    connections: int = 0
    closed: trio.Event = dataclasses.field(default_factory=trio.Event)


async def serve(nursery, upstream):
    """Serve an upstream and return its address."""
    handle = functools.partial(_serve_connection, upstream)
    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, handle, 0, host='127.0.0.1')
    )
    return f'127.0.0.1:{listeners[0].socket.getsockname()[1]}'


async def _serve_connection(upstream, stream):
    upstream.connections += 1
    connection = upstream.connections
    earlier_ids = []
    try:
        while (head := await _read_request(stream)) is not None:
            path, request_id = head
            exchange = Exchange(
                upstream, stream, path, request_id, earlier_ids, connection
            )
            if path in ('/health', '/load') and not upstream.polls:
                await stream.send_all(HEALTHY)
                continue
            upstream.paths.append(path)
            await upstream.respond(exchange)
            earlier_ids.append(request_id)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    if earlier_ids:
        upstream.closed.set()


async def _read_request(stream):
    """Return a request's path and id; None at the end of a connection."""
    data = b''
    while BLANK_LINE not in data:
        part = await stream.receive_some(65_536)
        if not part:
            return None
        data += part
    lines = data.partition(BLANK_LINE)[0].decode().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines[1:])
    return lines[0].split()[1], headers.get('zinnialead-request-id', '')


def response(status, *headers, body=b''):
    """Return a response with a length; the headers are lines."""
    lines = [
        f'HTTP/1.1 {status} Reason',
        *headers,
        f'Content-Length: {len(body)}',
    ]
    return '\r\n'.join(lines).encode() + BLANK_LINE + body


def answer(request_id, body=b'booked'):
    """Return the answer to a request, with its id."""
    return response(201, f'Zinnialead-Request-Id: {request_id}', body=body)


def shed(request_id):
    """Return the refusal of a request, with its id."""
    return response(
        503, 'Zinnialead-Shed: 1', f'Zinnialead-Request-Id: {request_id}'
    )
