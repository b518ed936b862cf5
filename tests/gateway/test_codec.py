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

BEAT = entries.Heartbeat(
    'edge-1', 1_700_000_000_000, False, True, (1, 2, 3, 4), True
)


def test_a_beat_comes_back_as_it_was():
    decoded = codec.decode_datagram(codec.encode_beat(BEAT))
    assert decoded == inp.HeartbeatReceived(BEAT)


@hypothesis.given(st.binary(max_size=600))
def test_no_bytes_do_more_than_raise_value_error(data):
    for decode in (
        codec.decode_datagram,
        codec.decode_ask,
        codec.decode_answer,
    ):
        with contextlib.suppress(ValueError):
            decode(data)


@pytest.mark.parametrize(
    ('kind', 'item'),
    [
        (
            store.Kind.UPSTREAMS,
            inp.UpstreamRegistered(samples.upstream('u-1')),
        ),
        (
            store.Kind.ENTRIES,
            inp.EntryRegistered(samples.entry_row('entry-2')),
        ),
        (store.Kind.DRAINS, inp.DrainAdded('guj-a')),
        (
            store.Kind.CONFIGURATION,
            inp.ConfigurationRead(samples.configuration(9), 'edge-1'),
        ),
    ],
)
def test_what_an_entry_knows_comes_back_as_it_was(kind, item):
    known = inp.PeerSnapshot(kind, 77, (item,), 'edge-1', 79, 1_200.0)
    assert codec.decode_answer(codec.encode_answer('edge-1', [known])) == [
        known
    ]


@hypothesis.given(st.integers(0, 10_000), st.integers(1, 255))
def test_a_spoilt_byte_is_found_before_the_library_reads_it(place, change):
    """The library takes 100 ms to report bytes that it can't read."""
    data = bytearray(codec.encode_beat(BEAT))
    data[place % len(data)] ^= change
    with pytest.raises(ValueError, match='checksum'):
        codec.decode_datagram(bytes(data))


@pytest.mark.parametrize(
    ('kind', 'items'),
    [
        (
            store.Kind.UPSTREAMS,
            (
                inp.UpstreamRegistered(samples.upstream('u-1')),
                inp.UpstreamDeregistered('u-2'),
            ),
        ),
        (
            store.Kind.ENTRIES,
            (
                inp.EntryDeregistered('entry-3'),
                inp.EntryRegistered(samples.entry_row('entry-2')),
            ),
        ),
        (
            store.Kind.DRAINS,
            (inp.DrainAdded('guj-a'), inp.DrainRemoved('guj-a')),
        ),
    ],
)
def test_changes_come_back_as_they_were(kind, items):
    told = inp.PeerChanges(kind, 3, 9, items, 'edge-1', 250.0)
    assert codec.decode_datagram(codec.encode_told(told)) == told


def test_changes_that_fill_more_than_a_datagram_are_refused():
    items = tuple(
        inp.UpstreamRegistered(samples.upstream(f'u-{n}')) for n in range(900)
    )
    told = inp.PeerChanges(store.Kind.UPSTREAMS, 3, 9, items, 'edge-1')
    with pytest.raises(ValueError, match='bytes of changes'):
        codec.encode_told(told)


def test_a_name_in_the_place_of_a_row_is_refused():
    items = (inp.UpstreamRegistered('u-1'),)
    told = inp.PeerChanges(store.Kind.UPSTREAMS, 3, 9, items, 'edge-1')
    with pytest.raises(ValueError, match='is no row'):
        codec.decode_datagram(codec.encode_told(told))


def test_a_large_configuration_is_compressed():
    """All entries of a region ask for it at once."""
    rows = [samples.route(f'route-{n}') for n in range(320)]
    known = inp.PeerSnapshot(
        store.Kind.CONFIGURATION,
        77,
        (inp.ConfigurationRead(samples.configuration(9, *rows), 'edge-1'),),
        'edge-1',
        79,
    )
    data = codec.encode_answer('edge-1', [known])
    assert len(data) < 16_384
    assert codec.decode_answer(data) == [known]
