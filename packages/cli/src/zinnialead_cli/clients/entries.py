"""Call the operators' ports of entries."""

import typing

import expression
import msgspec

from zinnialead_cli.clients import http

T = typing.TypeVar('T')


class Entry(typing.NamedTuple):
    """Name one entry's operators' port and the credential for it."""

    address: str
    token: str


class Unreachable(typing.NamedTuple):
    """Say which entry gave no useful answer, and why."""

    address: str
    reason: str


def get(
    entry: Entry, path: str, kind: type[T]
) -> expression.Result[T, Unreachable]:
    """Return the decoded answer of an operators' call."""
    return _call(entry, 'GET', path, kind)


def post(
    entry: Entry, path: str, kind: type[T]
) -> expression.Result[T, Unreachable]:
    """Return the decoded answer of an operators' command."""
    return _call(entry, 'POST', path, kind)


def _call(
    entry: Entry, method: str, path: str, kind: type[T]
) -> expression.Result[T, Unreachable]:
    headers: dict[bytes | str, bytes | str] = {
        'authorization': f'Bearer {entry.token}'
    }
    found = http.call(method, f'http://{entry.address}{path}', headers)
    if found.is_error():
        return expression.Error(Unreachable(entry.address, found.error))
    answer = found.ok
    if answer.status != 200:
        reason = f'{method} {path}: status {answer.status}'
        return expression.Error(Unreachable(entry.address, reason))
    try:
        decoded = msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        reason = f'{method} {path}: {error}'
        return expression.Error(Unreachable(entry.address, reason))
    return expression.Ok(decoded)
