"""Build strategies for the peer protocol's messages from type hints."""

import dataclasses
import enum
import types
import typing

from hypothesis import strategies as st

from core import samples
from zinnialead_core.components import members
from zinnialead_core.components import tickets

PRIMITIVES = {
    str: st.text(st.characters(codec='utf-8'), min_size=1, max_size=12),
    int: st.integers(0, 2**31 - 1),
    float: st.floats(allow_nan=False, allow_infinity=False),
    bytes: st.binary(max_size=32),
    bool: st.booleans(),
    type(None): st.none(),
}


def values(hint):
    if hint is tickets.State:
        return st.builds(samples.state, *[st.integers(1, 99)] * 2)
    if hint in PRIMITIVES:
        return PRIMITIVES[hint]
    if isinstance(hint, typing.NewType):
        return values(hint.__supertype__)
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        return st.one_of(*map(values, args))
    if origin is tuple and args[1:] == (...,):
        return st.lists(values(args[0]), max_size=3).map(tuple)
    if origin is tuple:
        return st.tuples(*map(values, args))
    if origin is dict:
        return st.dictionaries(*map(values, args), max_size=2)
    if issubclass(hint, enum.Enum):
        return st.sampled_from(hint)
    return _fields(hint)


def _fields(hint):
    assert dataclasses.is_dataclass(hint) or hasattr(hint, '_fields')
    hints = typing.get_type_hints(hint)
    if hint is members.MemberRow:
        hints['heard_ms'] = None
    strategies = {
        name: values(field_hint)
        for name, field_hint in hints.items()
        if field_hint
    }
    if hint is members.MemberRow:
        strategies['heard_ms'] = st.just(0.0)
    return st.builds(hint, **strategies)
