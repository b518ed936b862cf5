"""Turn calls into HTTP requests and answers into results."""

from collections import abc

import msgspec

from zinnialead_core.components import store
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_daemon.components.store import const
from zinnialead_daemon.components.store import models


def question(call: store.Call, left_s: float) -> models.Question:
    """Return the request that makes a call.

    >>> question(store.Read('state'), 5.0).path
    '/apis/zinnialead/v1/objects/state'
    """
    path = const.OBJECTS_PATH + call.name
    match call:
        case store.Read() | store.ReadBindings():
            return models.Question('GET', path)
        case store.Watch(_, version):
            wait_s = max(0, int(left_s - const.WATCH_MARGIN_S))
            query = f'resourceVersion={version}&timeoutSeconds={wait_s}'
            return models.Question('GET', f'{path}?watch=true&{query}')
        case store.Create(_, value):
            return _written(path, value, None)
        case store.Update(_, value, version):
            return _written(path, value, version)
        case store.WriteBindings(_, rows, known):
            return _written(path, msgspec.json.encode(rows), known)
        case store.ListVms():
            return models.Question('GET', const.VMS_PATH)


def result(call: store.Call, answer: models.Answer) -> store.Result:
    """Return what an answer means for its call."""
    match answer.status, call:
        case ((429 | 503), _):
            wait_ms = answer.retry_after_s * const.MS_PER_S
            return store.Refused(call.name, wait_ms)
        case 404, (
            store.Read()
            | store.Watch()
            | store.Update()
            | store.ReadBindings()
            | store.WriteBindings()
        ):
            return store.Missing(call.name)
        case 409, (store.Create() | store.Update() | store.WriteBindings()):
            return store.Conflict(call.name)
        case 410, store.Watch():
            return store.TooOld(call.name)
        case 204, store.Watch():
            return store.Unchanged(call.name)
        case ((200 | 201), store.ListVms()):
            return store.Listed()
        case 200, store.Watch():
            event = msgspec.json.decode(answer.body, type=models.EventDocument)
            return _found(call.name, event.object)
        case ((200 | 201), (store.ReadBindings() | store.WriteBindings())):
            document = msgspec.json.decode(
                answer.body, type=models.ObjectDocument
            )
            return _found_bindings(call.name, document)
        case ((200 | 201), _):
            document = msgspec.json.decode(
                answer.body, type=models.ObjectDocument
            )
            return _found(call.name, document)
        case status, _:
            return store.Failed(call.name, f'status {status}')


def listed(body: bytes) -> abc.Iterator[inp.PeerSeen]:
    """Yield the VMs of the platform's list."""
    document = msgspec.json.decode(body, type=models.VmsDocument)
    for item in document['items'][: const.VMS_MAX]:
        yield inp.PeerSeen(
            ids.EntryId(item['entry']),
            ids.DomainId(item['domain']),
            item['address'],
            item.get('leaving', False),
        )


def _found(name: str, document: models.ObjectDocument) -> store.Result:
    version = int(document.metadata['resourceVersion'])
    return store.Found(name, bytes(document.spec), version)


def _found_bindings(
    name: str, document: models.ObjectDocument
) -> store.Result:
    version = int(document.metadata['resourceVersion'])
    rows = msgspec.json.decode(
        bytes(document.spec), type=tuple[store.BindingRow, ...]
    )
    return store.FoundBindings(name, rows, version)


def _written(path: str, value: bytes, version: int | None) -> models.Question:
    spec = msgspec.Raw(value)
    if version is None:
        body = msgspec.json.encode({'spec': spec})
        return models.Question('POST', path, body)
    body = msgspec.json.encode(
        {'metadata': {'resourceVersion': str(version)}, 'spec': spec}
    )
    return models.Question('PUT', path, body)
