"""Convert rows to JSON objects for operators."""

from collections import abc
import dataclasses
import re
import typing

import msgspec

Json = (
    None
    | bool
    | int
    | float
    | str
    | abc.Sequence['Json']
    | abc.Mapping[str, 'Json']
)

WORD_START = re.compile(r'(?<!^)(?=[A-Z])')


def encode(value: object) -> bytes:
    """Return a value as JSON, with rows and data classes as objects."""
    return msgspec.json.encode(plain(value))


def plain(value: object) -> Json:
    """Return ``value`` converted to dicts, lists and scalars.

    A data class gets its class name as ``kind``, to distinguish variants.

    >>> from zinnialead_core.components import tickets
    >>> plain(tickets.UpstreamDrain('intake-1'))
    {'kind': 'upstream-drain', 'upstream': 'intake-1'}
    """
    match value:
        case dict():
            return {str(key): plain(item) for key, item in value.items()}
        case tuple() if hasattr(value, '_asdict'):
            return plain(value._asdict())
        case list() | tuple():
            return [plain(item) for item in value]
        case _ if dataclasses.is_dataclass(value):
            return _variant(value)
        case _:
            return typing.cast('Json', value)


def _variant(value: object) -> Json:
    fields = dataclasses.fields(typing.cast('typing.Any', value))
    members = {
        field.name: plain(getattr(value, field.name)) for field in fields
    }
    kind = WORD_START.sub('-', type(value).__name__).lower()
    return {'kind': kind, **members}
