"""Make calls to the platform's store over HTTP."""

from zinnialead_cli.clients import http
from zinnialead_config import objects
from zinnialead_core.components import store


def call(address: str, operation: store.Call) -> store.Result:
    """Make one call; a write without a response may have taken effect."""
    root = f'http://{address}'
    name = operation.name
    match operation:
        case store.Read():
            result = http.call('GET', root + objects.path(name))
        case store.Create(_, value):
            body = objects.body(name, value, None)
            result = http.call(
                'POST', root + objects.kind_path(name), content=body
            )
        case store.Update(_, value, version):
            body = objects.body(name, value, version)
            result = http.call('PUT', root + objects.path(name), content=body)
        case _:
            return store.Failed(
                operation.name, f'{operation} is not for operators'
            )
    if result.is_error():
        return store.Failed(operation.name, result.error)
    return _store_result(operation.name, result.ok)


def _store_result(name: str, response: http.Response) -> store.Result:
    match response.status:
        case 200 | 201:
            return _found(name, response.body)
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
    except ValueError as error:
        return store.Failed(name, f'the answer is not an object: {error}')
    return store.Found(name, bytes(document.spec), document.metadata['rev'])
