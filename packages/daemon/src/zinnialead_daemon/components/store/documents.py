"""Convert calls to HTTP requests and answers to results."""

from collections import abc
import re

import msgspec

import zinnialead_config as config
from zinnialead_config import objects
from zinnialead_core.components import store
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_daemon.components.peers import addresses
from zinnialead_daemon.components.store import const
from zinnialead_daemon.components.store import models
import zinnialead_documents

# Visible ASCII characters.
NAME = re.compile('[!-~]{1,255}')


def request(call: store.Call, left_s: float) -> models.Request:
    """Return the HTTP request for a call.

    >>> request(store.Read('state'), 5.0).path
    '/objects/state/state'
    """
    match call:
        case store.Read(name) | store.ReadBindings(name):
            return models.Request('GET', objects.path(name))
        case store.ReadLatest(name):
            return models.Request('GET', objects.kind_path(name))
        case store.Watch(name, version):
            wait_ms = max(0.0, left_s - const.WATCH_MARGIN_S) * const.MS_PER_S
            path = objects.watch_path(name, version, int(wait_ms))
            return models.Request('GET', path)
        case store.Create(name, value):
            return _write_request(name, value, None)
        case store.Update(name, value, version):
            return _write_request(name, value, version)
        case store.WriteBindings(name, rows, known_version, mark):
            value = msgspec.json.encode(_bindings_document(rows, mark))
            return _write_request(name, value, known_version)
        case store.WriteState(name, state, version):
            return _write_request(name, config.encode_state(state), version)
        case store.ListVms(name, after):
            return models.Request('GET', objects.page_path(name, after))


def result(call: store.Call, answer: models.Answer) -> store.Result:
    """Return the result of a call, given the store's answer."""
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
            | store.WriteState()
        ):
            return store.Missing(call.name)
        case 409, (
            store.Create()
            | store.Update()
            | store.WriteBindings()
            | store.WriteState()
        ):
            return store.Conflict(call.name)
        case 410, store.Watch():
            return store.TooOld(call.name)
        case ((200 | 201), store.ListVms()):
            page = objects.read_page(answer.body)
            return store.Listed(next_after=page.next_after)
        case 200, store.ReadLatest():
            return _latest_result(call.name, objects.read_page(answer.body))
        case 200, store.Watch():
            event, resume_rev = objects.read_changes(answer.body, call.name)
            if event is None:
                return store.Unchanged(call.name, resume_rev)
            if event.deleted:
                return store.Missing(call.name)
            return _found_result(call.name, event.object)
        case ((200 | 201), (store.ReadBindings() | store.WriteBindings())):
            return _bindings_result(call.name, objects.read(answer.body))
        case ((200 | 201), _):
            return _found_result(call.name, objects.read(answer.body))
        case status, _:
            return store.Failed(call.name, f'status {status}')


def listed(body: bytes) -> abc.Iterator[inp.PeerSeen | inp.VmUnreadable]:
    """Yield an input for each VM in a page of the platform's list."""
    for item in objects.read_page(body).items[: const.VMS_MAX]:
        match item:
            case objects.UnreadableDocument(name, rev, reason):
                yield _unreadable(name, rev, reason)
            case objects.ObjectDocument(metadata, spec):
                name = metadata.get('name', '')
                try:
                    yield _read_vm(name, bytes(spec))
                except ValueError as error:
                    yield _unreadable(name, metadata['rev'], str(error))


def _read_vm(name: str, spec: bytes) -> inp.PeerSeen:
    """Return the input for a VM; ValueError if it can't be read."""
    vm = zinnialead_documents.decode(spec, models.VmDocument)
    if not NAME.fullmatch(name) or not vm['domain']:
        raise ValueError('no valid name or no domain')
    addresses.parse(vm['address'])
    return inp.PeerSeen(
        ids.EntryId(name),
        ids.DomainId(vm['domain']),
        vm['address'],
        vm.get('leaving', False),
    )


def _unreadable(name: str, version: int, reason: str) -> inp.VmUnreadable:
    return inp.VmUnreadable(
        name[: const.NAME_LENGTH_MAX],
        version,
        reason[: const.REASON_LENGTH_MAX],
    )


def _latest_result(name: str, page: objects.Page) -> store.Result:
    """Return an object from the list of its kind, which fits in a page."""
    for item in page.items:
        match item:
            case objects.ObjectDocument(metadata, spec) if (
                metadata.get('name') == name
            ):
                version = metadata['rev']
                return store.Found(name, bytes(spec), version, page.revision)
            case objects.UnreadableDocument(item_name, _, reason) if (
                item_name == name
            ):
                raise ValueError(f'{name!r} is unreadable: {reason}')
    if page.next_after:
        raise ValueError(f'{name!r} is not in the first page')
    return store.Missing(name, page.revision)


def _found_result(name: str, document: objects.ObjectDocument) -> store.Result:
    return store.Found(name, bytes(document.spec), document.metadata['rev'])


def _bindings_document(
    rows: tuple[store.BindingRow, ...], mark: store.ShardMark | None
) -> tuple[store.BindingRow, ...] | models.BindingsDocument:
    """Return the value of a shard: its rows, with the mark if there is one."""
    if mark is None:
        return rows
    return models.BindingsDocument(
        era=mark.era, complete_from_ms=mark.complete_from_ms, rows=rows
    )


def _bindings_result(
    name: str, document: objects.ObjectDocument
) -> store.Result:
    version = document.metadata['rev']
    try:
        decoded = msgspec.json.decode(
            bytes(document.spec),
            type=tuple[store.BindingRow, ...] | models.BindingsDocument,
        )
    except RecursionError as error:
        raise ValueError('nested too deeply') from error
    if isinstance(decoded, tuple):
        return store.FoundBindings(name, decoded, version)
    mark = store.ShardMark(decoded['era'], decoded['complete_from_ms'])
    return store.FoundBindings(name, decoded['rows'], version, mark)


def _write_request(
    name: str, value: bytes, version: int | None
) -> models.Request:
    body = objects.body(name, value, version)
    if version is None:
        return models.Request('POST', objects.kind_path(name), body)
    return models.Request('PUT', objects.path(name), body)
