"""Test splitting documents, also malformed ones."""

import contextlib
import time

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

import zinnialead_documents as documents

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text('[]{},:"\\ \u00e9'),
    lambda x: st.lists(x) | st.dictionaries(st.text('[]{},:"\\ a'), x),
    max_leaves=20,
)


def encode(value, indent):
    return msgspec.json.format(msgspec.json.encode(value), indent=indent)


@hypothesis.given(st.lists(VALUES), st.sampled_from([-1, 0, 2]))
def test_an_array_is_split_into_its_items(values, indent):
    parts = documents.split_array(encode(values, indent))
    assert list(map(documents.decode, parts)) == values


@hypothesis.given(
    st.dictionaries(st.text('[]{},:"\\ a'), VALUES),
    st.sampled_from([-1, 0, 2]),
)
def test_an_object_is_split_into_its_members(values, indent):
    parts = documents.split_object(encode(values, indent))
    assert {k: documents.decode(v) for k, v in parts.items()} == values


def test_a_part_may_be_empty():
    assert documents.split_array(b'[,1,]') == [b'', b'1', b'']
    assert documents.split_array(b'[ ]') == []


BYTES = st.lists(
    st.sampled_from([b'[', b'{', b']', b'}', b'"', b'\\', b',', b':', b' '])
    | st.binary(max_size=3),
    max_size=40,
).map(b''.join)


@hypothesis.given(BYTES)
def test_malformed_documents_raise_only_value_errors(data):
    for split in (documents.split_array, documents.split_object):
        with contextlib.suppress(ValueError):
            split(data)


@pytest.mark.parametrize(
    'data', [b'', b'1', b'"x"', b'[1', b'[1]]', b'["]', b'{"a":[}', b'[1] 2']
)
def test_documents_without_an_end_are_errors(data):
    for split in (documents.split_array, documents.split_object):
        with pytest.raises(ValueError):
            split(data)


@pytest.mark.parametrize(
    'data',
    [
        b'[' + b'"\\"' * 400_000,
        b'["' + b'\\"' * 400_000,
        b'[{"a":"' + b'x' * 1_000_000,
        b'[' + b'"a' * 400_001,
        b'[' + b'{"a":"' * 150_000,
        b'{"a"' + b' ' * 1_000_000 + b'}',
        b'[' + b'[' * 500_000,
        b'{' + b'[' * 500_000,
    ],
    ids=range(8),
)
def test_the_time_for_a_malformed_document_is_bounded(data):
    """A search that starts again at each byte would take minutes."""
    started_s = time.process_time()
    for split in (documents.split_array, documents.split_object):
        with contextlib.suppress(ValueError):
            split(data)
    assert time.process_time() - started_s < 5.0
