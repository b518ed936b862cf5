"""Send requests as callers do, over persistent connections."""

import dataclasses

import h11
import trio

from soak import const
from soak import models
from soak import proxy as proxies
from soak import upstreams

CHUNK_BYTES = 65_536
CALL_TIMEOUT_MS = 6_000.0


@dataclasses.dataclass
class Connection:
    """Hold one open connection to an entry."""

    stream: trio.SocketStream
    protocol: h11.Connection
    last_used_ms: float = 0.0


class PartialResponse:
    """Hold the part of a response that has arrived."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_ended = False


async def send_requests(soak, number):
    """Send requests one after the other until the run is over."""
    idle_connections = {}
    count = 0
    while not soak.is_over:
        pause_ms = soak.random.expovariate(1.0) * const.MEAN_CALLER_PAUSE_MS
        await trio.sleep(pause_ms / const.MS_PER_S)
        count += 1
        entry = soak.random.choice(const.ALL_ENTRIES)
        await _send_request(
            soak, idle_connections, entry, f'c{number}-{count}'
        )
    for connection in idle_connections.values():
        connection.stream.socket.close()


async def _send_request(soak, idle_connections, entry, name):
    connection = idle_connections.pop(entry, None)
    if connection and not _is_usable(soak, connection):
        connection.stream.socket.close()
        connection = None
    if connection is None:
        connection = await _connect(soak, entry)
    if connection is None:
        return
    services = soak.tables.versions[-1].services
    prefix = soak.random.choice(sorted(services))
    non_idempotent = prefix in soak.non_idempotent_prefixes
    is_slow = soak.random.random() < const.SLOW_SHARE
    path = f'{prefix}{upstreams.SLOW_PATH if is_slow else ""}{name}'
    sent_ms = soak.now_ms()
    response = PartialResponse()
    detail = ''
    with trio.move_on_after(CALL_TIMEOUT_MS / const.MS_PER_S) as scope:
        detail = await _exchange(
            connection, response, path, non_idempotent, name
        )
    if scope.cancelled_caught:
        detail = 'no answer in time'
    # The proxy accepts a connection before it finds that the entry is down.
    address = connection.stream.socket.getsockname()
    if detail and address in soak.members[entry].front_proxy.refused_peers:
        detail = 'unsent'
    if detail or response.headers.get(b'connection') == b'close':
        connection.stream.socket.close()
    else:
        connection.protocol.start_next_cycle()
        connection.last_used_ms = soak.now_ms()
        idle_connections[entry] = connection
    if detail == 'unsent':
        return
    is_whole = (
        response.headers.get(b'zinnialead-response-seal') is not None
        and response.body == b'done ' + name.encode()
        and response.is_ended
    )
    status = response.status if response.is_ended else 0
    soak.tables.requests.append(
        models.RequestRow(
            name,
            entry,
            prefix,
            non_idempotent,
            sent_ms,
            soak.now_ms(),
            status,
            is_whole,
            detail,
        )
    )


def _is_usable(soak, connection):
    """Return whether an idle connection is recent and still open."""
    idle_ms = soak.now_ms() - connection.last_used_ms
    is_closed = connection.stream.socket.is_readable()
    return idle_ms <= const.IDLE_MAX_MS and not is_closed


async def _connect(soak, entry):
    host, _, port = soak.members[entry].front_proxy.address.rpartition(':')
    try:
        stream = await trio.open_tcp_stream(host, int(port))
    except OSError:
        return None
    return Connection(stream, h11.Connection(h11.CLIENT))


async def _exchange(connection, response, path, non_idempotent, name):
    """Send one request and read its response; return the error or ''."""
    protocol = connection.protocol
    request = h11.Request(
        method=b'POST' if non_idempotent else b'GET',
        target=path.encode(),
        headers=[
            (b'Host', b'desk.example'),
            (b'Zinnialead-Request-Id', name.encode()),
            (b'Zinnialead-Deadline-Ms', b'%d' % const.DEADLINE_MS),
            (b'Content-Length', b'0'),
        ],
    )
    data = protocol.send(request) + protocol.send(h11.EndOfMessage())
    try:
        await connection.stream.send_all(data)
    except proxies.CONNECTION_ERRORS:
        return 'unsent'
    while True:
        event = protocol.next_event()
        match event:
            case h11.NEED_DATA:
                try:
                    data = await connection.stream.receive_some(CHUNK_BYTES)
                except proxies.CONNECTION_ERRORS:
                    return 'reset'
                if not data and protocol.their_state is h11.SEND_RESPONSE:
                    return 'closed'
                protocol.receive_data(data)
            case h11.Response():
                response.status = event.status_code
                response.headers = dict(event.headers)
            case h11.Data():
                response.body += bytes(event.data)
            case h11.EndOfMessage():
                response.is_ended = True
                return ''
            case _:
                return f'unexpected {event!r}'
