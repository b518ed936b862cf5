"""Run hypercorn on trio for one ASGI application."""

from collections import abc
import functools
import typing

import hypercorn.config
import hypercorn.trio
import trio

from zinnialead_daemon.http import asgi
from zinnialead_daemon.http import const


class Binding(typing.NamedTuple):
    """Say where to serve, and with which certificate if any."""

    address: str
    certificate_file: str | None = None
    key_file: str | None = None


async def serve(
    app: asgi.AsgiApp,
    binding: Binding | str,
    until: abc.Callable[[], abc.Awaitable[None]],
    task_status: 'trio.TaskStatus[str]' = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP requests at ``binding`` until ``until`` returns.

    Reports the bound address as ``host:port`` when started.
    """
    bound = Binding(binding) if isinstance(binding, str) else binding
    run = functools.partial(
        hypercorn.trio.serve,
        typing.cast('typing.Any', functools.partial(_dispatch, app)),
        _config(bound),
        shutdown_trigger=until,
    )
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(run)
        task_status.started(binds[0].partition('://')[2])


async def _dispatch(
    app: asgi.AsgiApp,
    scope: asgi.Scope,
    receive: asgi.Receive,
    send: asgi.Send,
) -> None:
    match scope['type']:
        case 'lifespan':
            await asgi.lifespan(receive, send)
        case 'http':
            await app(scope, receive, send)
        case 'websocket':
            await receive()
            await send({'type': 'websocket.close'})


def _config(binding: Binding) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.bind = [binding.address]
    config.certfile = binding.certificate_file
    config.keyfile = binding.key_file
    # Only HTTP/1.1 shows a cut answer by its framing alone.
    config.alpn_protocols = ['http/1.1']
    config.h11_max_incomplete_size = const.HEAD_MAX_BYTES
    config.keep_alive_timeout = const.KEEP_ALIVE_S
    config.keep_alive_max_requests = const.REQUESTS_PER_CONNECTION_MAX
    config.max_app_queue_size = const.QUEUED_CHUNKS_MAX
    config.graceful_timeout = const.GRACEFUL_S
    config.backlog = const.BACKLOG
    config.include_server_header = False
    config.loglevel = 'ERROR'
    return config
