"""Fake upstreams whose answers are raw bytes, so that they may be wrong."""

from collections import abc
import dataclasses
import functools
import typing

import trio

from adapter import deployments
from adapter import fakes
import endless
from zinnialead_standins import store as stores

BLANK_LINE = b'\r\n\r\n'


class Request(typing.NamedTuple):
    """Hold a request that an upstream has read."""

    name: str
    expected_instance: str
    target: str = ''


@dataclasses.dataclass
class Exchange:
    """Hold a request, its connection and the requests before it there."""

    upstream: 'RawUpstream'
    stream: trio.SocketStream
    request: Request
    earlier: list[Request]


@dataclasses.dataclass
class RawUpstream:
    """Hold an upstream, the requests it ran and what it writes for one.

    ``closed`` is set when a connection to it has ended.  ``respond_health``
    writes the response to a health check, by default one of a warm upstream;
    ``checked`` counts them.  Their connections carry nothing else, and are
    neither counted in ``connections`` nor waited for by ``closed``.
    """

    instance: str
    respond: abc.Callable[[Exchange], abc.Awaitable[None]]
    ran: list[str] = dataclasses.field(default_factory=list)
    connections: int = 0
    closed: trio.Event = dataclasses.field(default_factory=trio.Event)
    respond_health: abc.Callable[[trio.SocketStream], abc.Awaitable[None]] = (
        None
    )
    checked: int = 0


async def serve(nursery, upstream):
    """Serve an upstream and return its address."""
    listeners = await nursery.start(
        functools.partial(
            trio.serve_tcp,
            functools.partial(_serve_connection, upstream),
            0,
            host='127.0.0.1',
        )
    )
    return f'127.0.0.1:{listeners[0].socket.getsockname()[1]}'


async def _serve_connection(upstream, stream):
    upstream.connections += 1
    try:
        request, unread = await _read_request(stream, b'')
        if request is not None and request.target == '/health':
            upstream.connections -= 1
            await _answer_health(upstream, stream)
        else:
            await _serve_requests(upstream, stream, request, unread)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def _serve_requests(upstream, stream, request, unread):
    earlier = []
    try:
        while request is not None:
            exchange = Exchange(upstream, stream, request, earlier)
            await upstream.respond(exchange)
            earlier.append(request)
            request, unread = await _read_request(stream, unread)
    finally:
        upstream.closed.set()


async def _answer_health(upstream, stream):
    upstream.checked += 1
    if upstream.respond_health is not None:
        await upstream.respond_health(stream)
        return
    instance = b'Zinnialead-Instance-Id: ' + upstream.instance.encode()
    headers = [instance, b'Content-Length: 0', b'Connection: close']
    await stream.send_all(response(200, headers))


async def _read_request(stream, unread):
    while BLANK_LINE not in unread:
        data = await stream.receive_some(65_536)
        if not data:
            return None, b''
        unread += data
    head, _, rest = unread.partition(BLANK_LINE)
    headers = {}
    request_line, *lines = head.split(b'\r\n')
    for line in lines:
        key, _, value = line.partition(b':')
        headers[key.lower()] = value.strip().decode()
    body_bytes = int(headers.get(b'content-length', '0'))
    while len(rest) < body_bytes:
        rest += await stream.receive_some(65_536)
    request = Request(
        headers.get(b'zinnialead-request-id', ''),
        headers.get(b'zinnialead-expect-instance', ''),
        request_line.split(b' ')[1].decode(),
    )
    return request, rest[body_bytes:]


def response(status, headers, body=b'', reason=b'Reason', version=b'1.1'):
    """Return the bytes of a response; the headers are lines."""
    lines = [b'HTTP/%s %d %s' % (version, status, reason), *headers]
    return b'\r\n'.join(lines) + BLANK_LINE + body


def answer(name, body=b'done'):
    """Return a sealed answer to a request."""
    return response(
        200,
        [
            b'Zinnialead-Request-Id: ' + name.encode(),
            b'Zinnialead-Response-Seal: seal',
            b'Content-Length: %d' % len(body),
        ],
        body,
    )


def refusal(name, *headers, status=503, body=b'', length=True):
    """Return a refusal of a request that was not run; None omits its id."""
    lines = [b'Zinnialead-Not-Executed: 1', *headers]
    if name is not None:
        lines.append(b'Zinnialead-Request-Id: ' + name.encode())
    if length:
        lines.append(b'Content-Length: %d' % len(body))
    return response(status, lines, body)


async def run(exchange):
    """Run a request and answer it."""
    name = exchange.request.name
    exchange.upstream.ran.append(name)
    await exchange.stream.send_all(answer(name))


class Deployment(typing.NamedTuple):
    """Hold a deployment of one entry."""

    store: stores.Store
    upstreams: list[RawUpstream]
    settings: typing.Any
    faulty_store: 'FaultyStore'


async def deploy(nursery, *responders, **fields):
    """Start a store, an upstream for each responder and an entry."""
    store = stores.new_store()
    stores.put(store, 'config', 'main', deployments.configuration(**fields))
    upstreams = []
    for number, respond in enumerate(responders):
        upstream = RawUpstream(f'i-{number}', respond)
        address = await serve(nursery, upstream)
        entry = deployments.registration(address)
        stores.put(store, 'servers', upstream.instance, entry)
        upstreams.append(upstream)
    faulty_store, address = await serve_faulty_store(nursery, store)
    settings = await deployments.entry(nursery, address)
    await deployments.until_ready(settings)
    return Deployment(store, upstreams, settings, faulty_store)


@dataclasses.dataclass
class FaultyStore:
    """Hold a store whose answers are replaced while ``flood`` is set."""

    address: str
    flood: endless.Endless | None = None
    drip: bool = False
    flooding: trio.Event = dataclasses.field(default_factory=trio.Event)


async def serve_faulty_store(nursery, store):
    """Serve the store stand-in so that its answers can be replaced."""
    faulty = FaultyStore(await fakes.serve_store(nursery, store))
    listeners = await nursery.start(
        functools.partial(
            trio.serve_tcp,
            functools.partial(_serve_faulty_store, faulty),
            0,
            host='127.0.0.1',
        )
    )
    faulty_address = f'127.0.0.1:{listeners[0].socket.getsockname()[1]}'
    return faulty, faulty_address


async def _serve_faulty_store(faulty, stream):
    host, _, port = faulty.address.partition(':')
    async with (
        await trio.open_tcp_stream(host, int(port)) as store,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(_pass_on, store, stream)
        try:
            async for data in stream:
                if faulty.flood is None:
                    await store.send_all(data)
                else:
                    faulty.flooding.set()
                    await endless.write(stream, faulty.flood, faulty.drip)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()


async def _pass_on(source, sink):
    try:
        async for data in source:
            await sink.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
