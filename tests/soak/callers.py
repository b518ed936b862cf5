"""Send requests as callers do, on connections that stay open."""

import dataclasses

import h11
import trio

from soak import const
from soak import models
from soak import proxy as proxies

CHUNK = 65_536
CALL_MAX_MS = 6_000.0


@dataclasses.dataclass
class Connection:
    """Hold one open connection to an entry."""

    stream: trio.SocketStream
    state: h11.Connection


class Answer:
    """Hold what came back of one request so far."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_ended = False


async def run(soak, number):
    """Send one request after the other until the run is over."""
    kept = {}
    count = 0
    while not soak.is_over:
        pause_ms = soak.random.expovariate(1.0) * const.CALLER_PAUSE_MS
        await trio.sleep(pause_ms / const.MS_PER_S)
        count += 1
        entry = soak.random.choice(const.ENTRIES)
        await _one(soak, kept, entry, f'c{number}-{count}')
    for connection in kept.values():
        connection.stream.socket.close()


async def _one(soak, kept, entry, name):
    connection = kept.pop(entry, None)
    if connection is None:
        connection = await _connect(soak, entry)
    if connection is None:
        return
    services = soak.tables.versions[-1].services
    prefix = soak.random.choice(sorted(services))
    once = prefix in soak.once
    sent_ms = soak.now_ms()
    answer = Answer()
    detail = ''
    with trio.move_on_after(CALL_MAX_MS / const.MS_PER_S) as scope:
        detail = await _exchange(connection, answer, prefix, once, name)
    if scope.cancelled_caught:
        detail = 'no answer in time'
    # Behind a proxy such a connection seems to be open for a moment.
    own = connection.stream.socket.getsockname()
    if detail and own in soak.members[entry].front.refused:
        detail = 'unsent'
    if detail or answer.headers.get(b'connection') == b'close':
        connection.stream.socket.close()
    else:
        connection.state.start_next_cycle()
        kept[entry] = connection
    if detail == 'unsent':
        return
    is_whole = (
        answer.headers.get(b'zinnialead-response-seal') is not None
        and answer.body == b'done ' + name.encode()
        and answer.is_ended
    )
    status = answer.status if answer.is_ended else 0
    soak.tables.requests.append(
        models.RequestRow(
            name,
            entry,
            prefix,
            once,
            sent_ms,
            soak.now_ms(),
            status,
            is_whole,
            detail,
        )
    )


async def _connect(soak, entry):
    host, _, port = soak.members[entry].front.address.rpartition(':')
    try:
        stream = await trio.open_tcp_stream(host, int(port))
    except OSError:
        return None
    return Connection(stream, h11.Connection(h11.CLIENT))


async def _exchange(connection, answer, prefix, once, name):
    """Send one request and read its answer; return what went wrong."""
    state = connection.state
    head = h11.Request(
        method=b'POST' if once else b'GET',
        target=f'{prefix}{name}'.encode(),
        headers=[
            (b'Host', b'desk.example'),
            (b'Zinnialead-Request-Id', name.encode()),
            (b'Zinnialead-Deadline-Ms', b'%d' % const.DEADLINE_MS),
            (b'Content-Length', b'0'),
        ],
    )
    data = state.send(head) + state.send(h11.EndOfMessage())
    try:
        await connection.stream.send_all(data)
    except proxies.BROKEN:
        return 'unsent'
    while True:
        event = state.next_event()
        match event:
            case h11.NEED_DATA:
                try:
                    data = await connection.stream.receive_some(CHUNK)
                except proxies.BROKEN:
                    return 'reset'
                if not data and state.their_state is h11.SEND_RESPONSE:
                    return 'closed'
                state.receive_data(data)
            case h11.Response():
                answer.status = event.status_code
                answer.headers = dict(event.headers)
            case h11.Data():
                answer.body += bytes(event.data)
            case h11.EndOfMessage():
                answer.is_ended = True
                return ''
            case _:
                return f'unexpected {event!r}'
