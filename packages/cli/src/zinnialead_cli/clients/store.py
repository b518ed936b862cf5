"""Carry out calls to the platform's store."""

import msgspec

from zinnialead_cli.clients import http
from zinnialead_config import objects
from zinnialead_core.components import store


def call(address: str, wanted: store.Call) -> store.Result:
    """Make one call; a write without an answer may have taken effect."""
    root = f'http://{address}'
    name = wanted.name
    match wanted:
        case store.Read():
            found = http.call('GET', root + objects.path(name))
        case store.Create(_, value):
            body = objects.body(name, value, None)
            found = http.call(
                'POST', root + objects.kind_path(name), content=body
            )
        case store.Update(_, value, version):
            body = objects.body(name, value, version)
            found = http.call('PUT', root + objects.path(name), content=body)
        case _:
            return store.Failed(wanted.name, f'{wanted} is not for operators')
    if found.is_error():
        return store.Failed(wanted.name, found.error)
    return _result(wanted.name, found.ok)


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
        document = objects.read(body)
    except msgspec.MsgspecError as error:
        return store.Failed(name, f'the answer is not an object: {error}')
    return store.Found(name, bytes(document.spec), document.metadata['rev'])
