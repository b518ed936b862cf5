"""Test encoding and decoding the messages between entries."""

import contextlib

import hypothesis
from hypothesis import strategies as st
import pytest

from core.gateway import samples
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.store import models as store
from zinnialead_gateway.peers import codec

HEARTBEAT = entries.Heartbeat(
    'edge-1', 1_700_000_000_000, False, True, (1, 2, 3, 4), True, 0.5, 3
)


def test_a_heartbeat_survives_encoding_and_decoding():
    decoded = codec.decode_datagram(codec.encode_heartbeat(HEARTBEAT))
    assert decoded == inp.HeartbeatReceived(HEARTBEAT)


def test_a_request_for_snapshots_survives_encoding_and_decoding():
    kinds = (store.Kind.UPSTREAMS, store.Kind.DRAINS)
    request = store.SnapshotRequest(kinds, (7, -1), 3)
    encoded = codec.encode_snapshot_request(request)
    assert codec.decode_snapshot_request(encoded) == request


@hypothesis.given(st.binary(max_size=600))
def test_malformed_bytes_raise_only_value_errors(data):
    for decode in (
        codec.decode_datagram,
        codec.decode_snapshot_request,
        codec.decode_snapshots,
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
def test_a_snapshot_survives_encoding_and_decoding(kind, item):
    snapshot = inp.PeerSnapshot(kind, 77, (item,), 'edge-1', 79, 1_200.0, 3)
    assert codec.decode_snapshots(
        codec.encode_snapshots('edge-1', [snapshot])
    ) == [snapshot]


@hypothesis.given(st.integers(0, 10_000), st.integers(1, 255))
def test_a_corrupt_byte_is_rejected_by_its_checksum(position, change):
    """The capnp library takes 100 ms to report malformed data."""
    data = bytearray(codec.encode_heartbeat(HEARTBEAT))
    data[position % len(data)] ^= change
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
def test_changes_survive_encoding_and_decoding(kind, items):
    changes = inp.PeerChanges(kind, 3, 9, items, 'edge-1', 250.0, 3)
    assert codec.decode_datagram(codec.encode_changes(changes)) == changes


def test_changes_too_large_for_a_datagram_are_rejected():
    items = tuple(
        inp.UpstreamRegistered(samples.upstream(f'u-{n}')) for n in range(900)
    )
    changes = inp.PeerChanges(store.Kind.UPSTREAMS, 3, 9, items, 'edge-1')
    with pytest.raises(ValueError, match='bytes of changes'):
        codec.encode_changes(changes)


def test_a_name_instead_of_a_row_is_rejected():
    items = (inp.UpstreamRegistered('u-1'),)
    changes = inp.PeerChanges(store.Kind.UPSTREAMS, 3, 9, items, 'edge-1')
    with pytest.raises(ValueError, match='is not a row'):
        codec.decode_datagram(codec.encode_changes(changes))


def test_a_large_configuration_is_compressed():
    """All entries of a region may request it at once."""
    rows = [samples.route(f'route-{n}') for n in range(320)]
    snapshot = inp.PeerSnapshot(
        store.Kind.CONFIGURATION,
        77,
        (inp.ConfigurationRead(samples.configuration(9, *rows), 'edge-1'),),
        'edge-1',
        79,
    )
    data = codec.encode_snapshots('edge-1', [snapshot])
    assert len(data) < 16_384
    assert codec.decode_snapshots(data) == [snapshot]
