"""Encode and decode the messages between entries."""

from collections import abc
import pathlib
import struct
import typing
import zlib

import capnp
import msgspec

from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.routes import models as routes
from zinnialead_core.gateway.store import models as store
from zinnialead_core.gateway.upstreams import models as upstreams
from zinnialead_core import ids

capnp.remove_import_hook()

_SCHEMA_PATH = pathlib.Path(__file__).with_name('peers.capnp')
_SCHEMA: typing.Any = capnp.load(str(_SCHEMA_PATH))
# A quarter of the largest datagram. Peers request a snapshot when changes
# are larger.
DATAGRAM_BYTES_MAX = 16_384
# Large enough for 10,000 upstreams and a few hundred routes.
FRAME_BYTES_MAX = 4_194_304
# A request for snapshots holds the names of a few kinds of objects.
REQUEST_BYTES_MAX = 1_024
CHECKSUM = struct.Struct('!I')
# Types of the row lists in snapshots, by kind.
ROW_LISTS: dict[store.Kind, typing.Any] = {
    store.Kind.CONFIGURATION: list[routes.Configuration],
    store.Kind.DRAINS: list[ids.DomainId],
    store.Kind.UPSTREAMS: list[upstreams.UpstreamRow],
    store.Kind.ENTRIES: list[entries.EntryRow],
}
# Types of the change lists, by kind: each item is a removal flag with the
# removed name, or with the changed row.
CHANGE_LISTS: dict[store.Kind, typing.Any] = {
    store.Kind.CONFIGURATION: list[tuple[bool, routes.Configuration]],
    store.Kind.DRAINS: list[tuple[bool, ids.DomainId]],
    store.Kind.UPSTREAMS: list[tuple[bool, upstreams.UpstreamRow | str]],
    store.Kind.ENTRIES: list[tuple[bool, entries.EntryRow | str]],
}
DECODE_ERRORS = (
    TypeError,
    capnp.KjException,
    UnicodeDecodeError,
    msgspec.MsgspecError,
    ValueError,
    zlib.error,
)


def encode_heartbeat(heartbeat: entries.Heartbeat) -> bytes:
    """Encode a heartbeat as a datagram."""
    message = _SCHEMA.Datagram.new_message()
    builder = message.init('beat')
    builder.entry = str(heartbeat.entry)
    builder.incarnation = heartbeat.incarnation
    builder.leaving = heartbeat.leaving
    builder.ready = heartbeat.ready
    builder.latest = list(heartbeat.latest_revisions)
    builder.mayRead = heartbeat.may_read
    builder.perS = heartbeat.requests_per_s
    builder.era = heartbeat.era
    return _add_checksum(message.to_bytes_packed())


def encode_changes(changes: inp.PeerChanges) -> bytes:
    """Encode changes as a datagram; ValueError if they are too large."""
    message = _SCHEMA.Datagram.new_message()
    builder = message.init('told')
    builder.kind = changes.kind.value
    builder.base = changes.base_revision
    builder.latest = changes.latest_revision
    builder.settleMs = changes.removal_delay_ms
    builder.source = changes.source
    builder.era = changes.era
    builder.changes = msgspec.msgpack.encode(
        list(map(_to_change, changes.items))
    )
    data = _add_checksum(message.to_bytes_packed())
    if len(data) > DATAGRAM_BYTES_MAX:
        raise ValueError(f'{len(data)} bytes of changes')
    return data


def decode_datagram(data: bytes) -> inp.HeartbeatReceived | inp.PeerChanges:
    """Decode a datagram; ValueError if it is malformed."""
    if len(data) > DATAGRAM_BYTES_MAX:
        raise ValueError(f'a datagram of {len(data)} bytes')
    try:
        message = _SCHEMA.Datagram.from_bytes_packed(_strip_checksum(data))
        match message.which():
            case 'beat':
                return inp.HeartbeatReceived(_read_heartbeat(message.beat))
            case _:
                return _read_changes(message.told)
    except DECODE_ERRORS as error:
        raise ValueError(f'malformed datagram: {error}') from error


def encode_snapshot_request(request: store.SnapshotRequest) -> bytes:
    """Encode a request for snapshots of some kinds of objects."""
    message = _SCHEMA.Ask.new_message()
    message.kinds = [kind.value for kind in request.kinds]
    message.known = list(request.known_revisions)
    message.era = request.era
    return _add_checksum(message.to_bytes_packed())


def decode_snapshot_request(data: bytes) -> store.SnapshotRequest:
    """Decode a request for snapshots; ValueError if it is malformed."""
    try:
        message = _SCHEMA.Ask.from_bytes_packed(_strip_checksum(data))
        return store.SnapshotRequest(
            tuple(store.Kind(kind) for kind in message.kinds),
            tuple(message.known),
            message.era,
        )
    except DECODE_ERRORS as error:
        raise ValueError(f'malformed snapshot request: {error}') from error


def encode_snapshots(
    source: str, snapshots: abc.Sequence[inp.PeerSnapshot]
) -> bytes:
    """Encode an entry's snapshots as the answer to a request."""
    message = _SCHEMA.Answer.new_message()
    message.source = source
    builders = message.init('known', len(snapshots))
    for builder, snapshot in zip(builders, snapshots, strict=True):
        builder.kind = snapshot.kind.value
        builder.latest = snapshot.latest_revision
        builder.seen = snapshot.synced_revision
        builder.settleMs = snapshot.removal_delay_ms
        builder.era = snapshot.era
        rows = msgspec.msgpack.encode(list(map(_to_row, snapshot.items)))
        # All entries may request a large configuration at once, over links
        # of a few Mbit/s.
        builder.rows = zlib.compress(rows, level=1)
    return _add_checksum(message.to_bytes_packed())


def decode_snapshots(data: bytes) -> list[inp.PeerSnapshot]:
    """Decode an entry's snapshots; ValueError if they are malformed."""
    try:
        message = _SCHEMA.Answer.from_bytes_packed(
            _strip_checksum(data), traversal_limit_in_words=2**24
        )
        return [
            _read_snapshot(message.source, reader) for reader in message.known
        ]
    except DECODE_ERRORS as error:
        raise ValueError(f'malformed snapshots: {error}') from error


def _add_checksum(data: bytes) -> bytes:
    """Return data with its checksum in front."""
    return CHECKSUM.pack(zlib.crc32(data)) + data


def _strip_checksum(data: bytes) -> bytes:
    """Return data without its checksum; ValueError if they don't match.

    Malformed data must not reach the capnp library, which takes 100 ms to
    report it: it starts another program to resolve a stack trace.
    """
    if len(data) < CHECKSUM.size:
        raise ValueError('too short for a checksum')
    (expected,) = CHECKSUM.unpack_from(data)
    body = data[CHECKSUM.size :]
    if zlib.crc32(body) != expected:
        raise ValueError('the checksum does not match')
    return body


def _read_snapshot(
    source: str,
    reader: typing.Any,  # noqa: ANN401
) -> inp.PeerSnapshot:
    kind = store.Kind(reader.kind)
    data = zlib.decompressobj().decompress(reader.rows, FRAME_BYTES_MAX)
    rows = msgspec.msgpack.decode(data, type=ROW_LISTS[kind])
    items = tuple(_to_input(kind, row, source) for row in rows)
    return inp.PeerSnapshot(
        kind,
        reader.latest,
        items,
        source,
        reader.seen,
        reader.settleMs,
        reader.era,
    )


def _read_heartbeat(reader: typing.Any) -> entries.Heartbeat:  # noqa: ANN401
    return entries.Heartbeat(
        ids.EntryId(reader.entry),
        reader.incarnation,
        reader.leaving,
        reader.ready,
        tuple(reader.latest),
        reader.mayRead,
        reader.perS,
        reader.era,
    )


def _read_changes(reader: typing.Any) -> inp.PeerChanges:  # noqa: ANN401
    kind = store.Kind(reader.kind)
    changes = msgspec.msgpack.decode(reader.changes, type=CHANGE_LISTS[kind])
    items = tuple(
        _to_removal(kind, value)
        if is_removed
        else _to_input(kind, _require_row(kind, value), reader.source)
        for is_removed, value in changes
    )
    return inp.PeerChanges(
        kind,
        reader.base,
        reader.latest,
        items,
        reader.source,
        reader.settleMs,
        reader.era,
    )


class Change(typing.NamedTuple):
    """Hold a changed row, or the name of a removed object."""

    is_removed: bool
    value: object


def _to_change(event: object) -> Change:
    match event:
        case (
            inp.UpstreamDeregistered(name)
            | inp.EntryDeregistered(name)
            | inp.DrainRemoved(name)
        ):
            return Change(is_removed=True, value=name)
        case _:
            return Change(is_removed=False, value=_to_row(event))


def _require_row(kind: store.Kind, row: object) -> object:
    """Return a row; TypeError for a name, unless rows are names."""
    if isinstance(row, str) and kind is not store.Kind.DRAINS:
        raise TypeError(f'{row!r} is not a row')
    return row


def _to_removal(kind: store.Kind, name: object) -> inp.Input:
    if not isinstance(name, str):
        raise TypeError(f'{name!r} is not a name')
    match kind:
        case store.Kind.UPSTREAMS:
            return inp.UpstreamDeregistered(ids.UpstreamId(name))
        case store.Kind.ENTRIES:
            return inp.EntryDeregistered(ids.EntryId(name))
        case store.Kind.DRAINS:
            return inp.DrainRemoved(ids.DomainId(name))
        case store.Kind.CONFIGURATION:
            raise ValueError('configurations are never removed')


def _to_row(event: object) -> object:
    match event:
        case inp.UpstreamRegistered(row) | inp.EntryRegistered(row):
            return row
        case inp.DrainAdded(domain):
            return domain
        case inp.ConfigurationRead(configuration):
            return configuration
    raise ValueError(f'{event!r} is not a row that entries share')


def _to_input(
    kind: store.Kind,
    row: typing.Any,  # noqa: ANN401
    source: str,
) -> inp.Input:
    match kind:
        case store.Kind.UPSTREAMS:
            return inp.UpstreamRegistered(row)
        case store.Kind.ENTRIES:
            return inp.EntryRegistered(row)
        case store.Kind.DRAINS:
            return inp.DrainAdded(row)
        case store.Kind.CONFIGURATION:
            return inp.ConfigurationRead(row, source)
