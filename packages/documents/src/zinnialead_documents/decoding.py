"""Decode JSON with one kind of error."""

import typing

import msgspec


def decode(
    data: bytes,
    document_type: typing.Any = typing.Any,  # noqa: ANN401
) -> typing.Any:  # noqa: ANN401
    """Decode a document; ValueError if it is malformed or nested too deeply.

    >>> decode(b'{"a": [1]}')
    {'a': [1]}
    """
    try:
        return msgspec.json.decode(data, type=document_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(str(error)) from error
    except RecursionError as error:
        raise ValueError('nested too deeply') from error
