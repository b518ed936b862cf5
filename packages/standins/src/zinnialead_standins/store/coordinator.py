"""Serve an object API with revisions, conditional writes and watches."""

import functools
import typing
import urllib.parse

import msgspec
import trio

from zinnialead_config import objects
from zinnialead_daemon import http
from zinnialead_standins.store import const
from zinnialead_standins.store import models

JSON = [(b'content-type', b'application/json')]


class Request(typing.NamedTuple):
    """Hold one request; ``name`` is empty for all objects of a kind."""

    method: str
    kind: str
    name: str
    query: dict[str, str]
    body: bytes


def asgi_app(store: models.Store) -> http.AsgiApp:
    """Return the ASGI application of the store."""
    return functools.partial(_serve, store)


def forget_before(store: models.Store, revision: int) -> None:
    """Drop the older history: watches from before ``revision`` get 410."""
    store.oldest_revision = revision
    _wake_watches(store)


def set_condition(store: models.Store, condition: models.Condition) -> None:
    """Set the way the store works or fails from now on."""
    store.condition = condition
    _wake_watches(store)


def snapshot(store: models.Store) -> models.Copy:
    """Return a copy of the store, which later changes leave as it is."""
    objects = {kind: dict(named) for kind, named in store.objects.items()}
    return models.Copy(
        objects, tuple(store.events), store.revision, store.oldest_revision
    )


def restore(store: models.Store, copy: models.Copy) -> None:
    """Bring the store back from a copy: later changes are lost.

    Their revisions are given out again. Waiting watches are cut.
    """
    store.objects.clear()
    store.objects.update((x, dict(y)) for x, y in copy.objects.items())
    store.events[:] = copy.events
    store.revision = copy.revision
    store.oldest_revision = copy.oldest_revision
    store.era += 1
    _wake_watches(store)


def put(store: models.Store, kind: str, name: str, spec: object) -> int:
    """Write an object; return its revision."""
    current = store.objects[kind].get(name)
    if current is not None and current['spec'] == spec:
        return current['metadata']['rev']
    store.revision += 1
    document: models.ObjectDocument = {
        'metadata': {'name': name, 'rev': store.revision},
        'spec': spec,
    }
    store.objects[kind][name] = document
    row = models.EventRow(store.revision, kind, document, is_removed=False)
    store.events.append(row)
    _wake_watches(store)
    return store.revision


def remove(store: models.Store, kind: str, name: str) -> None:
    """Remove an object."""
    store.revision += 1
    document = store.objects[kind].pop(name)
    row = models.EventRow(store.revision, kind, document, is_removed=True)
    store.events.append(row)
    _wake_watches(store)


async def answer(
    store: models.Store, method: str, target: str, body: bytes
) -> models.Reply | None:
    """Return the reply to a call, or None if the reply is lost."""
    reply = await _answer(store, method, target, body)
    return reply and reply._replace(era=store.era)


async def _answer(
    store: models.Store, method: str, target: str, body: bytes
) -> models.Reply | None:
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
    reply = await _dispatch(store, Request(method, kind, name, query, body))
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
        # A missing body makes the server close the connection.
        await http.start_response(send, 200, [(b'content-length', b'1')])
        return
    era = (objects.HEADER_ERA, str(reply.era).encode())
    await http.respond(send, reply.status, [*JSON, era], reply.body)


async def _dispatch(
    store: models.Store, request: Request
) -> models.Reply | None:
    match request.method:
        case 'GET' if 'watch' in request.query:
            return await _watch(store, request)
        case 'GET' if request.name:
            stored = store.objects[request.kind].get(request.name)
            return _reply(200, stored) if stored else models.Reply(404)
        case 'GET':
            return _page(store, request)
        case 'POST' | 'PUT':
            return _write(store, request)
        case 'DELETE':
            return _delete(store, request)
    return models.Reply(405)


def _reply(status: int, document: object) -> models.Reply:
    return models.Reply(status, msgspec.json.encode(document))


def _page(store: models.Store, request: Request) -> models.Reply:
    after = request.query.get('after', '')
    objects = store.objects[request.kind]
    names = sorted(name for name in objects if name > after)
    page = {
        'items': [objects[name] for name in names[: const.PAGE_ITEMS_MAX]],
        'has_more': len(names) > const.PAGE_ITEMS_MAX,
        'current_rev': store.revision,
    }
    return _reply(200, page)


async def _watch(store: models.Store, request: Request) -> models.Reply | None:
    """Return the changes of a kind, or None if a restore cuts the watch."""
    era = store.era
    since_revision = int(request.query['watch'])
    wait_ms = int(request.query.get('wait_ms', const.WATCH_MAX_MS))
    wait_s = min(wait_ms, const.WATCH_MAX_MS) / const.MS_PER_S
    events: list[models.EventRow] = []
    with trio.move_on_after(wait_s):
        while not events and store.era == era:
            if not store.oldest_revision <= since_revision <= store.revision:
                return models.Reply(410)
            events = _events_after(store, request.kind, since_revision)
            if not events:
                await store.changed.wait()
    if store.era != era:
        return None
    event_documents = [
        {'object': event.document, 'deleted': event.is_removed}
        for event in events
    ]
    revision = store.revision if events else since_revision
    return _reply(200, {'events': event_documents, 'current_rev': revision})


def _events_after(
    store: models.Store, kind: str, since_revision: int
) -> list[models.EventRow]:
    if isinstance(store.condition, models.WithholdsEvents):
        return []
    return [
        event
        for event in store.events
        if event.revision > since_revision and event.kind == kind
    ]


def _write(store: models.Store, request: Request) -> models.Reply:
    try:
        document = msgspec.json.decode(request.body)
        metadata = document['metadata']
        name = metadata['name']
        spec = document['spec']
    except (msgspec.MsgspecError, KeyError, TypeError):
        return models.Reply(400)
    current = store.objects[request.kind].get(name)
    is_new = request.method == 'POST'
    if current is None and not is_new:
        return models.Reply(404)
    if current is not None and (
        is_new or not _is_at(current, metadata.get('rev'))
    ):
        return _reply(409, current)
    put(store, request.kind, name, spec)
    return _reply(201 if is_new else 200, store.objects[request.kind][name])


def _delete(store: models.Store, request: Request) -> models.Reply:
    current = store.objects[request.kind].get(request.name)
    if current is None:
        return models.Reply(404)
    if not _is_at(current, request.query.get('rev')):
        return _reply(409, current)
    remove(store, request.kind, request.name)
    return _reply(200, current)


def _is_at(current: models.ObjectDocument, revision: object) -> bool:
    """Return whether an object is at the revision of a request, if any."""
    return revision is None or str(current['metadata']['rev']) == str(revision)


def _wake_watches(store: models.Store) -> None:
    store.changed.set()
    store.changed = trio.Event()
