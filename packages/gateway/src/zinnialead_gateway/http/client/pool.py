"""Keep connections open between requests."""

import collections
import os

import h11
import trio

from zinnialead_gateway import engine as engines
from zinnialead_gateway.http.client import models
from zinnialead_gateway.http import const
from zinnialead_gateway.http import sockets


async def acquire(
    pool: models.Pool,
    address: str,
    idle_max_ms: float,
    request_id: str | None = None,
) -> models.Connection:
    """Return an idle connection from the pool, or open a new one.

    A connection on which ``request_id`` was refused is left in the pool: a
    refusal that is repeated there could not be told from one of this request.
    Raises OSError or trio.TooSlowError if none can be opened.
    """
    idle = pool.idle.get(address, collections.deque())
    skipped: list[models.Connection] = []
    chosen: models.Connection | None = None
    while idle and chosen is None:
        connection = idle.pop()
        if not _has_no_input(connection):
            _close_with_input(pool, connection)
        elif not _is_fresh(connection, idle_max_ms):
            close(connection)
        elif request_id in connection.refused_ids:
            skipped.append(connection)
        else:
            chosen = connection
    idle.extend(reversed(skipped))
    return chosen or await open_connection(pool, address)


async def open_connection(
    pool: models.Pool, address: str
) -> models.Connection:
    """Open a connection that a pool may keep.

    Raises OSError or trio.TooSlowError.
    """
    stream = await sockets.connect(address, tcp_keepalive=pool.tcp_keepalive)
    pool.opened_count += 1
    parser = h11.Connection(h11.CLIENT)
    return models.Connection(address, stream, parser, pool, engines.now_ms())


def release(pool: models.Pool, connection: models.Connection) -> None:
    """Return a connection to the pool; close it if it can't be reused."""
    parser = connection.parser
    if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
        close(connection)
        return
    refused_count = len(connection.refused_ids)
    if connection.has_strays or refused_count > const.REFUSED_IDS_MAX:
        close(connection)
        return
    unread, is_closed = parser.trailing_data
    if unread:
        pool.on_stray_bytes(connection.address)
    if unread or is_closed:
        close(connection)
        return
    parser.start_next_cycle()
    connection.last_used_ms = engines.now_ms()
    connection.sent = False
    idle = pool.idle.setdefault(connection.address, collections.deque())
    idle.append(connection)
    if len(idle) > const.IDLE_CONNECTIONS_MAX:
        close(idle.popleft())


def close_idle(pool: models.Pool, address: str) -> None:
    """Close the idle connections to an address."""
    for connection in pool.idle.pop(address, ()):
        close(connection)


async def watch_idle(pool: models.Pool) -> None:
    """Close idle connections soon after bytes or their end arrive on them."""
    while True:
        await trio.sleep(const.IDLE_CHECK_PERIOD_S)
        for connection in _take_readable(pool):
            _close_with_input(pool, connection)


def _take_readable(pool: models.Pool) -> list[models.Connection]:
    """Remove the idle connections that have input from a pool."""
    connections = [x for idle in pool.idle.values() for x in idle]
    numbers = sockets.readable(x.stream.socket for x in connections)
    readable = [
        connection
        for connection in connections
        if connection.stream.socket.fileno() in numbers
    ]
    for connection in readable:
        pool.idle[connection.address].remove(connection)
    return readable


def close(connection: models.Connection) -> None:
    """Close a connection immediately."""
    connection.stream.socket.close()


def _is_fresh(connection: models.Connection, idle_max_ms: float) -> bool:
    now_ms = engines.now_ms()
    return (
        now_ms - connection.last_used_ms <= idle_max_ms
        and now_ms < connection.expires_ms
    )


def _has_no_input(connection: models.Connection) -> bool:
    """Return whether no data and no end of stream are waiting to be read."""
    return not connection.stream.socket.is_readable()


def _close_with_input(
    pool: models.Pool, connection: models.Connection
) -> None:
    """Close an idle connection on which bytes or its end have arrived."""
    try:
        data = os.read(connection.stream.socket.fileno(), 1)
    except OSError:
        data = b''
    close(connection)
    if data:
        pool.on_stray_bytes(connection.address)
    elif engines.now_ms() < _kept_until_ms(connection):
        pool.on_early_end(connection.address)


def _kept_until_ms(connection: models.Connection) -> float:
    """Return until when the other end keeps an idle connection open."""
    if connection.expires_ms < float('inf'):
        return connection.expires_ms
    return connection.last_used_ms + const.UNANNOUNCED_IDLE_MIN_MS
