"""Define ASGI types and helpers to send responses and read bodies."""

from collections import abc
import typing

Headers = list[tuple[bytes, bytes]]
Scope = abc.MutableMapping[str, typing.Any]
Receive = abc.Callable[[], abc.Awaitable[dict[str, typing.Any]]]
Send = abc.Callable[[dict[str, typing.Any]], abc.Awaitable[None]]
AsgiApp = abc.Callable[[Scope, Receive, Send], abc.Awaitable[None]]

HEADER_LENGTH = b'content-length'


async def respond(
    send: Send, status: int, headers: Headers, body: bytes
) -> None:
    """Send a complete response."""
    await start_response(send, status, headers)
    await send({'type': 'http.response.body', 'body': body})


async def start_response(send: Send, status: int, headers: Headers) -> None:
    """Send the status and headers of a response."""
    message = {
        'type': 'http.response.start',
        'status': status,
        'headers': headers,
    }
    await send(message)


async def read_body(receive: Receive, max_bytes: int) -> bytes | None:
    """Return the body, or None if it is too large or incomplete."""
    body = b''
    while len(body) <= max_bytes:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return None
        body += message.get('body', b'')
        if not message.get('more_body', False):
            return body if len(body) <= max_bytes else None
    return None


async def discard(receive: Receive) -> None:
    """Receive and discard data until the peer disconnects."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return
