"""Call the operators' ports of entries."""

import typing

import expression
import msgspec

from zinnialead_cli.clients import http

T = typing.TypeVar('T')


class Entry(typing.NamedTuple):
    """Hold the address and token of an entry's operators' port."""

    address: str
    token: str


class Unreachable(typing.NamedTuple):
    """Report an entry that gave no valid response, and why."""

    address: str
    reason: str


def get(
    entry: Entry, path: str, document_type: type[T]
) -> expression.Result[T, Unreachable]:
    """Return the decoded response to a GET of the operators' port."""
    return _call(entry, 'GET', path, document_type)


def post(
    entry: Entry, path: str, document_type: type[T]
) -> expression.Result[T, Unreachable]:
    """Return the decoded response to a POST to the operators' port."""
    return _call(entry, 'POST', path, document_type)


def _call(
    entry: Entry, method: str, path: str, document_type: type[T]
) -> expression.Result[T, Unreachable]:
    headers: dict[bytes | str, bytes | str] = {
        'authorization': f'Bearer {entry.token}'
    }
    result = http.call(method, f'http://{entry.address}{path}', headers)
    if result.is_error():
        return expression.Error(Unreachable(entry.address, result.error))
    response = result.ok
    if response.status != 200:
        reason = f'{method} {path}: status {response.status}'
        return expression.Error(Unreachable(entry.address, reason))
    try:
        decoded = msgspec.json.decode(response.body, type=document_type)
    except msgspec.MsgspecError as error:
        reason = f'{method} {path}: {error}'
        return expression.Error(Unreachable(entry.address, reason))
    return expression.Ok(decoded)
