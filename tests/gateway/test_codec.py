"""Encode what entries send each other, and refuse what they do not."""

import contextlib

import hypothesis
from hypothesis import strategies as st
import pytest

from core.gateway import samples
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.store import models as store
from zinnialead_gateway.peers import codec

BEAT = entries.Beat('edge-1', 1_700_000_000_000, False, True, (1, 2, 3, 4))


def test_a_beat_comes_back_as_it_was():
    assert codec.decode_beat(codec.encode_beat(BEAT)) == BEAT


@hypothesis.given(st.binary(max_size=600))
def test_no_bytes_do_more_than_raise_value_error(data):
    for decode in (codec.decode_beat, codec.decode_ask, codec.decode_answer):
        with contextlib.suppress(ValueError):
            decode(data)


@pytest.mark.parametrize(
    ('kind', 'item'),
    [
        (store.Kind.UPSTREAMS, inp.UpstreamSeen(samples.upstream('u-1'))),
        (store.Kind.ENTRIES, inp.EntrySeen(samples.entry_row('entry-2'))),
        (store.Kind.DRAINS, inp.DrainSeen('guj-a')),
        (
            store.Kind.CONFIGURATION,
            inp.ConfigurationRead(samples.configuration(9), 'edge-1'),
        ),
    ],
)
def test_what_an_entry_knows_comes_back_as_it_was(kind, item):
    known = inp.KindHeard(kind, 77, (item,), 'edge-1')
    assert codec.decode_answer(codec.encode_answer('edge-1', [known])) == [
        known
    ]


@hypothesis.given(st.integers(0, 10_000), st.integers(1, 255))
def test_a_spoilt_byte_is_found_before_the_library_reads_it(place, change):
    """The library takes 100 ms to report bytes that it can't read."""
    data = bytearray(codec.encode_beat(BEAT))
    data[place % len(data)] ^= change
    with pytest.raises(ValueError, match='checksum'):
        codec.decode_beat(bytes(data))
