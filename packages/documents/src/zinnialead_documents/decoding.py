"""Decode JSON with one kind of error."""

import functools
import typing

import msgspec


class NestingError(ValueError):
    """Signal a document that is nested too deeply to be decoded."""


def decode(
    data: bytes,
    document_type: typing.Any = typing.Any,  # noqa: ANN401
) -> typing.Any:  # noqa: ANN401
    """Decode a document; ValueError if it is malformed.

    NestingError, a ValueError, if it is nested too deeply.

    >>> decode(b'{"a": [1]}')
    {'a': [1]}
    """
    try:
        return _decoder(document_type).decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(str(error)) from error
    except RecursionError as error:
        raise NestingError('nested too deeply') from error


@functools.lru_cache
def _decoder(
    document_type: typing.Any,  # noqa: ANN401
) -> 'msgspec.json.Decoder[typing.Any]':
    return msgspec.json.Decoder(document_type)
