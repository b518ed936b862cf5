"""Carry out calls to the platform's store."""

import typing

import msgspec

from zinnialead_cli.clients import http
from zinnialead_cli import const
from zinnialead_core.components import store


class Metadata(typing.TypedDict):
    """Hold an object's version."""

    resourceVersion: str  # noqa: N815 (the platform's spelling)


class StoreObject(typing.TypedDict):
    """Hold one object of the store."""

    metadata: Metadata
    spec: object


def call(address: str, wanted: store.Call) -> store.Result:
    """Make one call; a write without an answer may have taken effect."""
    url = f'http://{address}{const.OBJECTS_PATH}/{wanted.name}'
    match wanted:
        case store.Read():
            found = http.call('GET', url)
        case store.Create(_, value):
            found = http.call('POST', url, content=_body(value, None))
        case store.Update(_, value, version):
            found = http.call('PUT', url, content=_body(value, version))
        case store.Watch(_, version):
            watch = f'{url}?watch=true&resourceVersion={version}'
            found = http.call('GET', watch)
        case _:
            return store.Failed(wanted.name, f'{wanted} is not for operators')
    if found.is_error():
        return store.Failed(wanted.name, found.error)
    return _result(wanted.name, found.ok)


def _body(value: bytes, version: int | None) -> bytes:
    body: dict[str, object] = {'spec': msgspec.Raw(value)}
    if version is not None:
        body['metadata'] = {'resourceVersion': str(version)}
    return msgspec.json.encode(body)


def _result(name: str, answer: http.Answer) -> store.Result:
    match answer.status:
        case 200 | 201:
            return _found(name, answer.body)
        case 404:
            return store.Missing(name)
        case 409:
            return store.Conflict(name)
        case 410:
            return store.TooOld(name)
        case status:
            return store.Failed(name, f'status {status}')


def _found(name: str, body: bytes) -> store.Result:
    try:
        item = msgspec.json.decode(body, type=StoreObject)
        version = int(item['metadata']['resourceVersion'])
    except (msgspec.MsgspecError, ValueError) as error:
        return store.Failed(name, f'the answer is not an object: {error}')
    return store.Found(name, msgspec.json.encode(item['spec']), version)
