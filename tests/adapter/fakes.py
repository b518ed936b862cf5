"""Play the users' platform over loopback: its store and its upstreams."""

import collections
import dataclasses
import functools
import urllib.parse

import msgspec
import trio

from zinnialead_gateway.http import models as http_models
from zinnialead_gateway.http import server
from zinnialead_gateway.http import sockets

LIMITS = http_models.Limits(65_536, 1_000_000, 5.0, 30.0)
WATCH_POLL_S = 0.01


@dataclasses.dataclass
class FakeStore:
    """Hold objects by kind, changes, and how calls are troubled."""

    objects: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(dict)
    )
    events: list = dataclasses.field(default_factory=list)
    revision: int = 1
    oldest: int = 0
    trouble: str = ''
    calls: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


def put(store, kind, name, spec):
    store.revision += 1
    meta = {'name': name, 'rev': store.revision, 'created': 1}
    meta |= {'finalizers': [], 'is_deleting': False}
    item = {'metadata': meta, 'spec': spec, 'status': None}
    store.objects[kind][name] = item
    store.events.append((store.revision, kind, item, False))
    return item


def remove(store, kind, name):
    store.revision += 1
    item = store.objects[kind].pop(name)
    store.events.append((store.revision, kind, item, True))
    return item


async def serve(nursery, handle):
    """Serve a handler; return its address."""
    listener = await sockets.listen('127.0.0.1:0')
    made = http_models.Server(
        handle,
        lambda: LIMITS,
        100,
        lambda _: None,
        lambda status, reason: http_models.Answer(status, [], reason.encode()),
        print,
    )
    nursery.start_soon(server.serve, made, listener)
    return f'127.0.0.1:{listener.socket.getsockname()[1]}'


async def serve_store(nursery, store):
    return await serve(nursery, functools.partial(_store, store))


def _reply(status, body):
    return http_models.Answer(status, [], msgspec.json.encode(body))


async def _store(store, _caller, asked):
    method = asked.method.decode()
    url = urllib.parse.urlsplit(asked.target.decode())
    query = dict(urllib.parse.parse_qsl(url.query))
    _, _, kind, *rest = url.path.split('/')
    store.calls[f'{method} {kind}'] += 1
    match store.trouble:
        case 'down':
            return _reply(503, {})
        case 'busy':
            return _reply(429, {})
        case 'silent':
            await trio.sleep_forever()
    answer = await _act(store, method, kind, rest, query, asked.body)
    if store.trouble == 'lost' and method != 'GET':
        return None
    return answer


async def _act(store, method, kind, rest, query, body):
    known = store.objects[kind]
    match method:
        case 'GET' if 'watch' in query:
            return await _watch(store, kind, query)
        case 'GET':
            items = [known[name] for name in sorted(known)]
            page = {'items': items, 'has_more': False}
            return _reply(200, {**page, 'current_rev': store.revision})
        case 'POST':
            document = msgspec.json.decode(body)
            name = document['metadata']['name']
            if name in known:
                return _reply(409, known[name])
            return _reply(201, put(store, kind, name, document['spec']))
        case 'PUT':
            document = msgspec.json.decode(body)
            name = rest[0]
            if name not in known:
                return _reply(404, {})
            rev = document['metadata'].get('rev')
            if rev is not None and rev != known[name]['metadata']['rev']:
                return _reply(409, known[name])
            return _reply(200, put(store, kind, name, document['spec']))
        case 'DELETE':
            if rest[0] not in known:
                return _reply(404, {})
            return _reply(200, remove(store, kind, rest[0]))
    return _reply(405, {})


async def _watch(store, kind, query):
    since = int(query['watch'])
    with trio.move_on_after(int(query['wait_ms']) / 1_000.0):
        while True:
            if since < store.oldest:
                return _reply(410, {})
            found = [x for x in store.events if x[0] > since and x[1] == kind]
            if found and store.trouble != 'deaf':
                events = [{'object': x[2], 'deleted': x[3]} for x in found]
                page = {'events': events, 'current_rev': store.revision}
                return _reply(200, page)
            await trio.sleep(WATCH_POLL_S)
    return _reply(200, {'events': [], 'current_rev': since})


@dataclasses.dataclass
class FakeUpstream:
    """Hold an upstream, what it ran, and how it answers."""

    instance: str
    slots: int = 4
    ran: list = dataclasses.field(default_factory=list)
    how: str = 'well'
    work_s: float = 0.0


async def serve_upstream(nursery, upstream):
    return await serve(nursery, functools.partial(_upstream, upstream))


async def _upstream(upstream, _caller, asked):
    headers = {k.lower(): v for k, v in asked.headers}
    name = headers[b'zinnialead-request-id']
    echo = [(b'Zinnialead-Request-Id', name)]
    if headers[b'zinnialead-expect-instance'].decode() != upstream.instance:
        return http_models.Answer(421, echo, b'')
    if upstream.how == 'sheds':
        return http_models.Answer(
            503, [*echo, (b'Zinnialead-Not-Executed', b'1')], b''
        )
    upstream.ran.append(name.decode())
    await trio.sleep(upstream.work_s)
    match upstream.how:
        case 'cuts':
            return None
        case 'unsealed':
            return http_models.Answer(200, echo, b'whose?')
    load = f'1,0,{upstream.slots}'.encode()
    sealed = [(b'Zinnialead-Response-Seal', b'seal')]
    told = [(b'Zinnialead-Server-Load', load)]
    return http_models.Answer(200, echo + sealed + told, b'done')
