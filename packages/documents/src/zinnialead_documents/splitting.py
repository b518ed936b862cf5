"""Split JSON objects and arrays into their encoded parts.

The parts themselves are not checked, so that one of them may be malformed.
"""

from collections import abc
import re

import msgspec

from zinnialead_documents import decoding

STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
NAME = re.compile(rb'\s*(' + STRING + rb')\s*:', re.DOTALL)
# What has neither commas nor brackets, except in strings.
SCALARS = re.compile(rb'(?:[^"\[\]{},]++|' + STRING + rb')*+', re.DOTALL)
# Opening brackets, also with scalars between them, or closing brackets, after
# what has no brackets except in strings.
PLAIN_STRING = rb'"[^"\\\[\]{}]*+"'
BRACKETS = re.compile(
    rb'(?:[^"\[\]{}]++|' + STRING + rb')*+'
    rb'((?:[\[{]++(?:[^"\[\]{}]++|' + PLAIN_STRING + rb')*+)++|[\]}]+|"|\Z)',
    re.DOTALL,
)


def split_array(data: bytes) -> list[bytes]:
    """Return the encoded items of an array; ValueError if it is not one.

    >>> split_array(b'[1, {"a": [2]}, nonsense]')
    [b'1', b'{"a": [2]}', b'nonsense']
    """
    try:
        return list(map(bytes, decoding.decode(data, list[msgspec.Raw])))
    except ValueError:
        return list(_split(data, b'['))


def split_object(data: bytes) -> dict[str, bytes]:
    """Return an object's encoded values; ValueError if it is not one.

    Members whose name can't be read are left out.

    >>> split_object(b'{"a": 1, "b": {"c": nonsense}, 3}')
    {'a': b'1', 'b': b'{"c": nonsense}'}
    """
    try:
        values = decoding.decode(data, dict[str, msgspec.Raw])
    except ValueError:
        return dict(_iterate_members(_split(data, b'{')))
    return {name: bytes(value) for name, value in values.items()}


def _iterate_members(
    parts: abc.Iterable[bytes],
) -> abc.Iterator[tuple[str, bytes]]:
    for part in parts:
        name = NAME.match(part)
        if name is None:
            continue
        try:
            yield decoding.decode(name[1], str), part[name.end() :].strip()
        except ValueError:
            continue


def _split(data: bytes, opening: bytes) -> abc.Iterator[bytes]:
    """Yield what the commas between the outermost brackets separate."""
    data = data.strip()
    if not data.startswith(opening):
        raise ValueError(f'no {opening.decode()} at the beginning')
    start = position = len(opening)
    while True:
        scalars = SCALARS.match(data, position)
        position = scalars.end() if scalars else position
        match data[position : position + 1]:
            case b',':
                yield data[start:position].strip()
                start = position = position + 1
            case b'[' | b'{':
                position = _find_end(data, position)
            case b']' | b'}':
                break
            case _:
                raise ValueError('the document ends early')
    if position + 1 != len(data):
        raise ValueError('data after the end')
    last = data[start:position].strip()
    if last or start > len(opening):
        yield last


def _find_end(data: bytes, position: int) -> int:
    """Return the position after the brackets that open at ``position``."""
    depth = 0
    for match in BRACKETS.finditer(data, position):
        brackets = match[1]
        match brackets[:1]:
            case b'[' | b'{':
                depth += brackets.count(b'[') + brackets.count(b'{')
            case b']' | b'}' if len(brackets) < depth:
                depth -= len(brackets)
            case b']' | b'}':
                return match.start(1) + depth
            case _:
                break
    raise ValueError('the document ends early')
