"""Serve an ASGI application with hypercorn's protocols on trio."""

from collections import abc
import dataclasses
import functools
import typing

import hypercorn.app_wrappers
import hypercorn.config
import hypercorn.trio.tcp_server
import hypercorn.trio.worker_context
import trio

from zinnialead_daemon.http import asgi
from zinnialead_daemon.http import const

Stream = trio.SocketStream | trio.SSLStream[trio.SocketStream]
Listener = trio.SocketListener | trio.SSLListener[trio.SocketStream]
StopCondition = abc.Callable[[], abc.Awaitable[None]]


def do_nothing() -> None:
    """Ignore a connection that was rejected or failed."""


class Binding(typing.NamedTuple):
    """Configure the address, certificate and connection limit of a server.

    ``on_rejected`` is called for each connection above the limit and
    ``on_failed`` for each that ends with an exception.
    """

    address: str
    certificate_file: str | None = None
    key_file: str | None = None
    connections_max: int = const.CONNECTIONS_MAX
    on_rejected: abc.Callable[[], None] = do_nothing
    on_failed: abc.Callable[[], None] = do_nothing


@dataclasses.dataclass(slots=True)
class Server:
    """Hold the state shared by all connections of a server."""

    app: hypercorn.app_wrappers.ASGIWrapper
    config: hypercorn.config.Config
    context: hypercorn.trio.worker_context.WorkerContext
    binding: Binding
    streams: set[Stream] = dataclasses.field(default_factory=set)


async def serve(
    app: asgi.AsgiApp,
    binding: Binding | str,
    stop_condition: StopCondition,
    task_status: 'trio.TaskStatus[str]' = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP requests at ``binding`` until ``stop_condition`` returns.

    Reports the bound address as ``host:port`` when started. hypercorn's
    own accept loop does not limit connections; this one closes those
    above the limit.  At the end no connection is waited for, also if its
    client does not read.
    """
    resolved = Binding(binding) if isinstance(binding, str) else binding
    server = _new_server(app, resolved)
    sockets = await _open_sockets(resolved.address)
    address = _bound_address(sockets[0])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            trio.serve_listeners,
            functools.partial(_serve_connection, server),
            list(_new_listeners(server.config, sockets)),
        )
        nursery.start_soon(_close_at_end, server)
        task_status.started(address)
        await stop_condition()
        await server.context.terminated.set()
        nursery.cancel_scope.deadline = (
            trio.current_time() + const.GRACEFUL_TIMEOUT_S
        )


async def _close_at_end(server: Server) -> None:
    # hypercorn shields its sends from cancellation.
    try:
        await trio.sleep_forever()
    finally:
        with trio.CancelScope(shield=True):
            for stream in list(server.streams):
                await trio.aclose_forcefully(stream)


async def _serve_connection(
    server: Server, stream: 'trio.SSLStream[trio.SocketStream]'
) -> None:
    if len(server.streams) >= server.binding.connections_max:
        server.binding.on_rejected()
        await trio.aclose_forcefully(stream)
        return
    server.streams.add(stream)
    connection = hypercorn.trio.tcp_server.TCPServer(
        server.app,
        server.config,
        server.context,
        typing.cast('typing.Any', {}),
        stream,
    )
    connection._read_data = functools.partial(  # type: ignore[method-assign]
        _read_until_closed, connection, connection._read_data
    )
    try:
        await connection.run()
    except Exception:
        # An error on one connection must not close the others.
        server.binding.on_failed()
    finally:
        server.streams.discard(stream)


async def _read_until_closed(
    connection: hypercorn.trio.tcp_server.TCPServer,
    read_data: abc.Callable[[], abc.Awaitable[None]],
) -> None:
    await read_data()
    # hypercorn would keep a connection closed by its peer open until the
    # idle timeout.
    await connection.idle_task.stop()


async def _dispatch(
    app: asgi.AsgiApp,
    scope: asgi.Scope,
    receive: asgi.Receive,
    send: asgi.Send,
) -> None:
    match scope['type']:
        case 'http':
            await app(scope, receive, send)
        case 'websocket':
            await receive()
            await send({'type': 'websocket.close'})


def _new_server(app: asgi.AsgiApp, binding: Binding) -> Server:
    framework = functools.partial(_dispatch, app)
    wrapped = hypercorn.app_wrappers.ASGIWrapper(
        typing.cast('typing.Any', framework)
    )
    context = hypercorn.trio.worker_context.WorkerContext(None)
    return Server(wrapped, _new_config(binding), context, binding)


async def _open_sockets(address: str) -> list[trio.SocketListener]:
    host, _, port = address.rpartition(':')
    return await trio.open_tcp_listeners(
        int(port), host=host.strip('[]'), backlog=const.BACKLOG
    )


def _new_listeners(
    config: hypercorn.config.Config, sockets: list[trio.SocketListener]
) -> abc.Iterator[Listener]:
    context = config.create_ssl_context()
    for listener in sockets:
        if context is None:
            yield listener
        else:
            yield trio.SSLListener(listener, context, https_compatible=True)


def _bound_address(listener: trio.SocketListener) -> str:
    host, port, *_ = listener.socket.getsockname()
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'


def _new_config(binding: Binding) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.certfile = binding.certificate_file
    config.keyfile = binding.key_file
    # Only HTTP/1.1 framing shows by itself that a response is incomplete.
    config.alpn_protocols = ['http/1.1']
    config.h11_max_incomplete_size = const.HEADERS_MAX_BYTES
    config.keep_alive_timeout = const.KEEP_ALIVE_S
    config.keep_alive_max_requests = const.REQUESTS_PER_CONNECTION_MAX
    config.max_app_queue_size = const.QUEUED_CHUNKS_MAX
    config.include_server_header = False
    config.loglevel = 'ERROR'
    return config
