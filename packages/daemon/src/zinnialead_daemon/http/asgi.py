"""Name the types of ASGI and send whole answers."""

from collections import abc
import typing

Headers = list[tuple[bytes, bytes]]
Scope = abc.MutableMapping[str, typing.Any]
Receive = abc.Callable[[], abc.Awaitable[dict[str, typing.Any]]]
Send = abc.Callable[[dict[str, typing.Any]], abc.Awaitable[None]]
AsgiApp = abc.Callable[[Scope, Receive, Send], abc.Awaitable[None]]


async def respond(
    send: Send, status: int, headers: Headers, body: bytes
) -> None:
    """Send one whole answer."""
    start = {
        'type': 'http.response.start',
        'status': status,
        'headers': headers,
    }
    await send(start)
    await send({'type': 'http.response.body', 'body': body})


async def lifespan(receive: Receive, send: Send) -> None:
    """Tell the server that start-up and shutdown need nothing."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
