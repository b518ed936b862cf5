"""Serve an object API with revisions, conditional writes and watches."""

import functools
import typing
import urllib.parse

import msgspec
import trio

from zinnialead_daemon import http
from zinnialead_standins.store import const
from zinnialead_standins.store import models

JSON = [(b'content-type', b'application/json')]


class Asked(typing.NamedTuple):
    """Hold one call; ``name`` is empty for a whole kind."""

    method: str
    kind: str
    name: str
    query: dict[str, str]
    body: bytes


def asgi_app(store: models.Store) -> http.AsgiApp:
    """Return the ASGI application of the store."""
    return functools.partial(_serve, store)


def forget_before(store: models.Store, revision: int) -> None:
    """Answer watches from an older revision with 410."""
    store.oldest_revision = revision
    _wake(store)


def set_condition(store: models.Store, condition: models.Condition) -> None:
    """Let the store fail, or work, in another way from now on."""
    store.condition = condition
    _wake(store)


def put(store: models.Store, kind: str, name: str, spec: object) -> int:
    """Write an object; return its revision."""
    known = store.objects[kind].get(name)
    if known is not None and known['spec'] == spec:
        return known['metadata']['rev']
    store.revision += 1
    item: models.ObjectDocument = {
        'metadata': {'name': name, 'rev': store.revision},
        'spec': spec,
    }
    store.objects[kind][name] = item
    row = models.EventRow(store.revision, kind, item, is_gone=False)
    store.events.append(row)
    _wake(store)
    return store.revision


def remove(store: models.Store, kind: str, name: str) -> None:
    """Remove an object."""
    store.revision += 1
    item = store.objects[kind].pop(name)
    row = models.EventRow(store.revision, kind, item, is_gone=True)
    store.events.append(row)
    _wake(store)


async def answer(
    store: models.Store, method: str, target: str, body: bytes
) -> models.Reply | None:
    """Return the answer of a call, None where it is lost."""
    url = urllib.parse.urlsplit(target)
    if not url.path.startswith(const.OBJECTS_PREFIX):
        return models.Reply(404)
    kind, _, name = url.path.removeprefix(const.OBJECTS_PREFIX).partition('/')
    query = dict(urllib.parse.parse_qsl(url.query))
    store.calls[f'{method} {kind}'] += 1
    match store.condition:
        case models.Down():
            return models.Reply(503)
        case models.Busy():
            return models.Reply(429)
        case models.Silent():
            await trio.sleep_forever()
        case models.Slow(delay_ms):
            await trio.sleep(delay_ms / const.MS_PER_S)
    reply = await _act(store, Asked(method, kind, name, query, body))
    if isinstance(store.condition, models.LosesAnswers) and method != 'GET':
        store.calls['lost'] += 1
        return None
    return reply


async def _serve(
    store: models.Store,
    scope: http.Scope,
    receive: http.Receive,
    send: http.Send,
) -> None:
    body = await http.read_body(receive, const.VALUE_MAX_BYTES)
    if body is None:
        await http.respond(send, 413, [], b'')
        return
    target = f'{scope["path"]}?{scope["query_string"].decode()}'
    reply = await answer(store, scope['method'], target, body)
    if reply is None:
        # A body that never comes ends the connection.
        await http.start_response(send, 200, [(b'content-length', b'1')])
        return
    await http.respond(send, reply.status, JSON, reply.body)


async def _act(store: models.Store, asked: Asked) -> models.Reply:
    match asked.method:
        case 'GET' if 'watch' in asked.query:
            return await _watch(store, asked)
        case 'GET' if asked.name:
            found = store.objects[asked.kind].get(asked.name)
            return _reply(200, found) if found else models.Reply(404)
        case 'GET':
            return _page(store, asked)
        case 'POST' | 'PUT':
            return _write(store, asked)
        case 'DELETE':
            return _delete(store, asked)
    return models.Reply(405)


def _reply(status: int, document: object) -> models.Reply:
    return models.Reply(status, msgspec.json.encode(document))


def _page(store: models.Store, asked: Asked) -> models.Reply:
    after = asked.query.get('after', '')
    known = store.objects[asked.kind]
    names = sorted(name for name in known if name > after)
    page = {
        'items': [known[name] for name in names[: const.PAGE_ITEMS_MAX]],
        'has_more': len(names) > const.PAGE_ITEMS_MAX,
        'current_rev': store.revision,
    }
    return _reply(200, page)


async def _watch(store: models.Store, asked: Asked) -> models.Reply:
    since = int(asked.query['watch'])
    wait_ms = int(asked.query.get('wait_ms', const.WATCH_MAX_MS))
    wait_s = min(wait_ms, const.WATCH_MAX_MS) / const.MS_PER_S
    events: list[models.EventRow] = []
    with trio.move_on_after(wait_s):
        while not events:
            if since < store.oldest_revision:
                return models.Reply(410)
            events = _seen(store, asked.kind, since)
            if not events:
                await store.changed.wait()
    told = [{'object': x.item, 'deleted': x.is_gone} for x in events]
    revision = store.revision if events else since
    return _reply(200, {'events': told, 'current_rev': revision})


def _seen(store: models.Store, kind: str, since: int) -> list[models.EventRow]:
    if isinstance(store.condition, models.Deaf):
        return []
    return [x for x in store.events if x.revision > since and x.kind == kind]


def _write(store: models.Store, asked: Asked) -> models.Reply:
    try:
        document = msgspec.json.decode(asked.body)
        metadata = document['metadata']
        name = metadata['name']
        spec = document['spec']
    except (msgspec.MsgspecError, KeyError, TypeError):
        return models.Reply(400)
    known = store.objects[asked.kind].get(name)
    is_new = asked.method == 'POST'
    if known is None and not is_new:
        return models.Reply(404)
    if known is not None and (
        is_new or not _is_at(known, metadata.get('rev'))
    ):
        return _reply(409, known)
    put(store, asked.kind, name, spec)
    return _reply(201 if is_new else 200, store.objects[asked.kind][name])


def _delete(store: models.Store, asked: Asked) -> models.Reply:
    known = store.objects[asked.kind].get(asked.name)
    if known is None:
        return models.Reply(404)
    if not _is_at(known, asked.query.get('rev')):
        return _reply(409, known)
    remove(store, asked.kind, asked.name)
    return _reply(200, known)


def _is_at(known: models.ObjectDocument, revision: object) -> bool:
    """Return whether an object is at the revision that a call names."""
    return revision is None or str(known['metadata']['rev']) == str(revision)


def _wake(store: models.Store) -> None:
    store.changed.set()
    store.changed = trio.Event()
