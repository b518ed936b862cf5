"""Forward connections over loopback, and impair them on request."""

import contextlib
import dataclasses
import socket
import struct

import trio

from soak import const
from soak import models

CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
CHUNK_BYTES = 65_536
# A struct linger with which closing a socket resets its connection.
NO_LINGER = struct.pack('ii', 1, 0)


@dataclasses.dataclass
class Proxy:
    """Hold the target of a proxy and the condition of its link.

    ``refused_peers`` are the addresses of clients whose connections the target
    refused.
    """

    target: str
    condition: object = dataclasses.field(default_factory=models.Clear)
    open_streams: set = dataclasses.field(default_factory=set)
    address: str = ''
    refused_peers: set = dataclasses.field(default_factory=set)


async def start(nursery, target, port=0):
    """Start and return a proxy that forwards to ``target``."""
    proxy = Proxy(target)
    (listener,) = await trio.open_tcp_listeners(port, host='127.0.0.1')
    proxy.address = f'127.0.0.1:{listener.socket.getsockname()[1]}'

    async def serve(stream):
        await _serve(proxy, stream)

    nursery.start_soon(trio.serve_listeners, serve, [listener])
    return proxy


def set_condition(proxy, condition):
    """Change how open and new connections are treated."""
    proxy.condition = condition
    if isinstance(condition, models.Reset):
        reset_all(proxy)


def reset_all(proxy):
    """Reset every open connection."""
    for stream in list(proxy.open_streams):
        reset(stream)


def reset(stream):
    """Close a connection so that its peer sees a reset."""
    with contextlib.suppress(*CONNECTION_ERRORS):
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
        )
    stream.socket.close()


async def _serve(proxy, client):
    if isinstance(proxy.condition, models.Reset):
        reset(client)
        return
    host, _, port = proxy.target.rpartition(':')
    try:
        target = await trio.open_tcp_stream(host, int(port))
    except OSError:
        proxy.refused_peers.add(client.socket.getpeername())
        reset(client)
        return
    streams = {client, target}
    proxy.open_streams |= streams
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_forward, proxy, client, target, False)
            nursery.start_soon(_forward, proxy, target, client, True)
    finally:
        proxy.open_streams -= streams
        client.socket.close()
        target.socket.close()


async def _forward(proxy, source, sink, is_from_target):
    """Forward one direction; after a dropped byte, drop all later ones."""
    is_dropping = False
    try:
        while data := await source.receive_some(CHUNK_BYTES):
            match proxy.condition:
                case models.Delayed(delay_ms):
                    await trio.sleep(delay_ms / const.MS_PER_S)
                case models.Silent():
                    is_dropping = True
                case models.OneWay() if is_from_target:
                    is_dropping = True
            if not is_dropping:
                await sink.send_all(data)
        if not is_dropping:
            await sink.send_eof()
    except CONNECTION_ERRORS:
        reset(source)
        reset(sink)
