"""Run hypercorn on trio for one ASGI application."""

from collections import abc
import functools
import typing

import hypercorn.config
import hypercorn.trio
import trio

from zinnialead_daemon.http import asgi


async def serve(
    app: asgi.AsgiApp,
    bind: str,
    until: abc.Callable[[], abc.Awaitable[None]],
    task_status: 'trio.TaskStatus[str]' = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP requests at ``bind`` until ``until`` returns.

    Reports the bound address as ``host:port`` when started.
    """

    async def with_lifespan(
        scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope['type'] == 'lifespan':
            await asgi.lifespan(receive, send)
            return
        await app(scope, receive, send)

    config = hypercorn.config.Config()
    config.bind = [bind]
    run = functools.partial(
        hypercorn.trio.serve,
        typing.cast('typing.Any', with_lifespan),
        config,
        shutdown_trigger=until,
    )
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(run)
        task_status.started(binds[0].removeprefix('http://'))
