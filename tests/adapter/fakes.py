"""Fake the users' platform over loopback: its store and upstreams."""

import dataclasses
import functools

import trio

from zinnialead_gateway.http import models as http_models
from zinnialead_gateway.http import server
from zinnialead_gateway.http import sockets
from zinnialead_standins import store as stores

LIMITS = http_models.Limits(65_536, 1_000_000, 5.0, 30.0)


async def serve(nursery, handle, address='127.0.0.1:0'):
    """Serve a handler and return its address."""
    listener = await sockets.listen(address)
    http_server = http_models.Server(
        handle,
        lambda: LIMITS,
        100,
        lambda _: None,
        lambda status, reason: http_models.Response(
            status, [], reason.encode()
        ),
        print,
    )
    nursery.start_soon(server.serve, http_server, listener)
    return f'127.0.0.1:{listener.socket.getsockname()[1]}'


async def serve_store(nursery, store):
    """Serve the store stand-in and return its address."""
    return await serve(nursery, functools.partial(_store, store))


async def _store(store, _caller, request):
    reply = await stores.answer(
        store, request.method.decode(), request.target.decode(), request.body
    )
    if reply is None:
        return None
    era_header = (b'Store-Era', b'%d' % reply.era)
    return http_models.Response(reply.status, [era_header], reply.body)


@dataclasses.dataclass
class FakeUpstream:
    """Hold an upstream, the requests it ran and how it behaves.

    ``behaviour`` is 'well', 'cuts' (aborts the connection after running the
    request), 'sheds' or 'unsealed'.  ``extra_headers`` go into each response,
    and ``arrived`` holds the times at which requests did.  Until
    ``cold_until_s`` its answers to health checks, which ``checked`` counts,
    say that it is cold.
    """

    instance: str
    slots: int = 4
    ran: list = dataclasses.field(default_factory=list)
    behaviour: str = 'well'
    work_s: float = 0.0
    extra_headers: list = dataclasses.field(default_factory=list)
    arrived: list = dataclasses.field(default_factory=list)
    cold_until_s: float = 0.0
    checked: int = 0


async def serve_upstream(nursery, upstream, address='127.0.0.1:0'):
    handle = functools.partial(_upstream, upstream)
    return await serve(nursery, handle, address)


def _check_health(upstream):
    upstream.checked += 1
    instance = upstream.instance.encode()
    headers = [(b'Zinnialead-Instance-Id', instance)]
    cold_s = upstream.cold_until_s - trio.current_time()
    if cold_s > 0.0:
        headers.append((b'Zinnialead-Cold-Ms', b'%d' % (cold_s * 1e3)))
    return http_models.Response(200, headers, b'')


async def _upstream(upstream, _caller, request):
    if request.target == b'/health':
        return _check_health(upstream)
    headers = {k.lower(): v for k, v in request.headers}
    name = headers[b'zinnialead-request-id']
    upstream.arrived.append(trio.current_time())
    echo = [(b'Zinnialead-Request-Id', name), *upstream.extra_headers]
    if headers[b'zinnialead-expect-instance'].decode() != upstream.instance:
        return http_models.Response(421, echo, b'')
    if upstream.behaviour == 'sheds':
        return http_models.Response(
            503, [*echo, (b'Zinnialead-Not-Executed', b'1')], b''
        )
    upstream.ran.append(name.decode())
    await trio.sleep(upstream.work_s)
    match upstream.behaviour:
        case 'cuts':
            return None
        case 'unsealed':
            return http_models.Response(200, echo, b'whose?')
    load_value = f'1,0,{upstream.slots}'.encode()
    seal_header = [(b'Zinnialead-Response-Seal', b'seal')]
    load_header = [(b'Zinnialead-Server-Load', load_value)]
    headers = [*echo, *seal_header, *load_header]
    return http_models.Response(200, headers, b'done')
