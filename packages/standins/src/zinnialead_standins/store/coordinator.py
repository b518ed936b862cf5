"""Serve a small part of an object API with versions and watches."""

import functools
import typing
import urllib.parse

import msgspec
import trio

from zinnialead_daemon import http
from zinnialead_standins.store import const
from zinnialead_standins.store import models

JSON = [(b'content-type', b'application/json')]


class Reply(typing.NamedTuple):
    """Hold one answer of the store."""

    status: int
    body: bytes = b''


def asgi_app(store: models.Store) -> http.AsgiApp:
    """Return the ASGI application of the store."""
    return functools.partial(_serve, store)


def forget_before(store: models.Store, version: int) -> None:
    """Answer watches from an older version with 410."""
    store.oldest_version = version


async def _serve(
    store: models.Store,
    scope: http.Scope,
    receive: http.Receive,
    send: http.Send,
) -> None:
    method = scope['method']
    store.calls[method] += 1
    match store.condition:
        case models.Down():
            await http.respond(send, 503, [], b'')
            return
        case models.Slow(delay_ms):
            await trio.sleep(delay_ms / const.MS_PER_S)
    reply = await _reply(store, scope, receive)
    lost = isinstance(store.condition, models.LosesAnswers)
    if lost and method != 'GET':
        store.calls['lost'] += 1
        await http.start(send, reply.status, [(b'content-length', b'1')])
        return
    await http.respond(send, reply.status, JSON, reply.body)


async def _reply(
    store: models.Store, scope: http.Scope, receive: http.Receive
) -> Reply:
    path = scope['path']
    if path == const.VMS_PATH:
        return Reply(200, msgspec.json.encode({'items': store.vms}))
    if not path.startswith(const.OBJECTS_PREFIX):
        return Reply(404)
    name = path.removeprefix(const.OBJECTS_PREFIX)
    match scope['method']:
        case 'GET':
            query = urllib.parse.parse_qs(scope['query_string'].decode())
            if 'watch' in query:
                return await _watch(store, name, query)
            return _found(store, name)
        case 'POST' | 'PUT' as method:
            body = await http.read_body(receive, const.VALUE_MAX_BYTES)
            return _write(store, method, name, body)
        case _:
            return Reply(405)


def _found(store: models.Store, name: str) -> Reply:
    row = store.objects.get(name)
    return Reply(404) if row is None else Reply(200, _encode(row))


async def _watch(
    store: models.Store, name: str, query: dict[str, list[str]]
) -> Reply:
    since = int(query.get('resourceVersion', ['0'])[0])
    timeout_s = float(query.get('timeoutSeconds', [const.WATCH_DEFAULT_S])[0])
    if since and since < store.oldest_version:
        return Reply(410)
    with trio.move_on_after(timeout_s):
        while True:
            row = store.objects.get(name)
            if row is not None and row.version > since:
                head = b'{"type":"MODIFIED","object":'
                return Reply(200, head + _encode(row) + b'}')
            await store.changed.wait()
    return Reply(204)


def _write(
    store: models.Store, method: str, name: str, body: bytes | None
) -> Reply:
    if body is None:
        return Reply(413)
    try:
        document = msgspec.json.decode(body, type=models.ObjectDocument)
    except msgspec.MsgspecError:
        return Reply(400)
    known = store.objects.get(name)
    if method == 'POST' and known is not None:
        return Reply(409)
    if method == 'PUT' and known is None:
        return Reply(404)
    given = document.get('metadata', {}).get('resourceVersion')
    if known is not None and given != str(known.version):
        return Reply(409)
    row = _put(store, name, document['spec'])
    return Reply(201 if method == 'POST' else 200, _encode(row))


def _put(store: models.Store, name: str, spec: object) -> models.ObjectRow:
    store.version += 1
    row = models.ObjectRow(name, store.version, spec)
    store.objects[name] = row
    store.changed.set()
    store.changed = trio.Event()
    return row


def _encode(row: models.ObjectRow) -> bytes:
    document = {
        'metadata': {'name': row.name, 'resourceVersion': str(row.version)},
        'spec': row.spec,
    }
    return msgspec.json.encode(document)
