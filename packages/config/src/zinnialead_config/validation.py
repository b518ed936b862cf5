"""Parse JSON with comments and validate it against a type."""

from collections import abc
import pathlib
import typing

import expression
import pydantic
import pyjson5

from zinnialead_config import problems

T = typing.TypeVar('T')

FILE_MAX_BYTES = 4_194_304
# Path of a problem that concerns the whole document.
ROOT_PATH = '(top)'


def read_text(
    path: pathlib.Path,
) -> expression.Result[str, problems.Problems]:
    """Return the text of a file, or the reason why it can't be read."""
    try:
        size_bytes = path.stat().st_size
        if size_bytes > FILE_MAX_BYTES:
            reason = f'{size_bytes} bytes, more than {FILE_MAX_BYTES}'
            return failure(str(path), ROOT_PATH, reason)
        return expression.Ok(path.read_text('utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        return failure(str(path), ROOT_PATH, str(error))


def parse(
    text: str, file: str, adapter: 'pydantic.TypeAdapter[T]'
) -> expression.Result[T, problems.Problems]:
    """Parse a text and return its validated value, or every invalid field."""
    try:
        raw = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        return failure(
            file, ROOT_PATH, f'not JSON with comments: {error.message}'
        )
    except RecursionError:
        return failure(file, ROOT_PATH, 'nested too deeply')
    return check(raw, file, adapter)


def check(
    raw: object, file: str, adapter: 'pydantic.TypeAdapter[T]'
) -> expression.Result[T, problems.Problems]:
    """Validate a decoded value; return it, or every invalid field."""
    try:
        return expression.Ok(adapter.validate_python(raw))
    except pydantic.ValidationError as error:
        field_problems = tuple(
            problems.Problem(file, _dotted_path(detail['loc']), detail['msg'])
            for detail in error.errors(include_url=False, include_input=False)
        )
        return expression.Error(tuple(_without_parents(field_problems)))


def failure(
    file: str, path: str, reason: str
) -> expression.Result[typing.Any, problems.Problems]:
    """Return a result with a single problem."""
    return expression.Error((problems.Problem(file, path, reason),))


def _without_parents(
    field_problems: problems.Problems,
) -> abc.Iterator[problems.Problem]:
    # pydantic reports a list with an invalid item also as too short.
    for problem in field_problems:
        prefix = f'{problem.path}.'
        if not any(other.path.startswith(prefix) for other in field_problems):
            yield problem


def _dotted_path(parts: tuple[int | str, ...]) -> str:
    return '.'.join(str(part) for part in parts) or ROOT_PATH
