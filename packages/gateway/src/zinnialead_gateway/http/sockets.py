"""Open listening and connected TCP sockets."""

from collections import abc
import select
import socket

import trio

from zinnialead_gateway.http import const


def parse_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    Raises ValueError if it has no host, or no port in the valid range.

    >>> parse_address('10.1.0.18:8381')
    ('10.1.0.18', 8381)
    """
    host, _, port_text = address.rpartition(':')
    port = int(port_text)
    if not host or not 0 <= port <= const.PORT_MAX:
        raise ValueError(f'{address!r} is not an address of host and port')
    return host, port


async def listen(address: str) -> trio.SocketListener:
    """Open a listener on an address."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    await sock.bind(parse_address(address))
    sock.listen(const.BACKLOG)
    return trio.SocketListener(sock)


async def connect(address: str, *, tcp_keepalive: bool) -> trio.SocketStream:
    """Connect to an address, with TCP keep-alive probes if asked for.

    Raises OSError or trio.TooSlowError.
    """
    sock = trio.socket.socket()
    try:
        if tcp_keepalive:
            _enable_keepalive(sock)
        with trio.fail_after(const.CONNECT_TIMEOUT_MS / 1_000.0):
            await sock.connect(parse_address(address))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def readable(socks: abc.Iterable[trio.socket.SocketType]) -> set[int]:
    """Return the file descriptors of the sockets that have input or ended."""
    poll = select.poll()
    for sock in socks:
        poll.register(sock.fileno(), select.POLLIN)
    return {number for number, _ in poll.poll(0)}


def _enable_keepalive(sock: trio.socket.SocketType) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, const.KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, const.KEEPALIVE_PERIOD_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, const.KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, const.TCP_USER_TIMEOUT_MS)
