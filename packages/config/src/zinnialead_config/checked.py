"""Read JSON with comments into a checked type."""

from collections import abc
import pathlib
import typing

import expression
import pydantic
import pyjson5

from zinnialead_config import problems

T = typing.TypeVar('T')

FILE_MAX_BYTES = 4_194_304
TOP = '(top)'


def read_text(
    path: pathlib.Path,
) -> expression.Result[str, problems.Problems]:
    """Return a file's text, or why it can't be read."""
    try:
        size_bytes = path.stat().st_size
        if size_bytes > FILE_MAX_BYTES:
            reason = f'{size_bytes} bytes, more than {FILE_MAX_BYTES}'
            return failed(str(path), TOP, reason)
        return expression.Ok(path.read_text('utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        return failed(str(path), TOP, str(error))


def parse(
    text: str, file: str, adapter: 'pydantic.TypeAdapter[T]'
) -> expression.Result[T, problems.Problems]:
    """Return the checked value of a text, or every field that is wrong."""
    try:
        raw = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        return failed(file, TOP, f'not JSON with comments: {error.message}')
    except RecursionError:
        return failed(file, TOP, 'nested too deeply')
    return check(raw, file, adapter)


def check(
    raw: object, file: str, adapter: 'pydantic.TypeAdapter[T]'
) -> expression.Result[T, problems.Problems]:
    """Return the checked form of a decoded value."""
    try:
        return expression.Ok(adapter.validate_python(raw))
    except pydantic.ValidationError as error:
        found = tuple(
            problems.Problem(file, _path(item['loc']), item['msg'])
            for item in error.errors(include_url=False, include_input=False)
        )
        return expression.Error(tuple(_without_parents(found)))


def failed(
    file: str, path: str, reason: str
) -> expression.Result[typing.Any, problems.Problems]:
    """Return one problem as a failed result."""
    return expression.Error((problems.Problem(file, path, reason),))


def _without_parents(
    found: problems.Problems,
) -> abc.Iterator[problems.Problem]:
    # A list with a bad item is also reported as too short.
    for item in found:
        prefix = f'{item.path}.'
        if not any(other.path.startswith(prefix) for other in found):
            yield item


def _path(parts: tuple[int | str, ...]) -> str:
    return '.'.join(str(part) for part in parts) or TOP
