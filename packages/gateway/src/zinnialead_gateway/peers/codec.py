"""Encode and decode what entries send each other."""

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

_PATH = pathlib.Path(__file__).with_name('peers.capnp')
_SCHEMA: typing.Any = capnp.load(str(_PATH))
# A quarter of what a datagram may hold; what is larger is asked for.
DATAGRAM_BYTES_MAX = 16_384
# A state of 10,000 upstreams and some hundred routes fits.
FRAME_BYTES_MAX = 4_194_304
CHECKSUM = struct.Struct('!I')
# Rows of each kind travel as one list.
ROWS: dict[store.Kind, typing.Any] = {
    store.Kind.CONFIGURATION: list[routes.Configuration],
    store.Kind.DRAINS: list[ids.DomainId],
    store.Kind.UPSTREAMS: list[upstreams.UpstreamRow],
    store.Kind.ENTRIES: list[entries.EntryRow],
}
# Changes are rows, or names of what is gone.
CHANGES: dict[store.Kind, typing.Any] = {
    store.Kind.CONFIGURATION: list[tuple[bool, routes.Configuration]],
    store.Kind.DRAINS: list[tuple[bool, ids.DomainId]],
    store.Kind.UPSTREAMS: list[tuple[bool, upstreams.UpstreamRow | str]],
    store.Kind.ENTRIES: list[tuple[bool, entries.EntryRow | str]],
}
UNREADABLE = (
    TypeError,
    capnp.KjException,
    UnicodeDecodeError,
    msgspec.MsgspecError,
    ValueError,
    zlib.error,
)


def encode_beat(beat: entries.Heartbeat) -> bytes:
    """Return a heartbeat as the bytes of a datagram."""
    message = _SCHEMA.Datagram.new_message()
    place = message.init('beat')
    place.entry = str(beat.entry)
    place.incarnation = beat.incarnation
    place.leaving = beat.leaving
    place.ready = beat.ready
    place.latest = list(beat.latest_revisions)
    place.mayRead = beat.may_read
    place.perS = beat.requests_per_s
    return _checked(message.to_bytes_packed())


def encode_told(told: inp.PeerChanges) -> bytes:
    """Return changes as a datagram; ValueError if they don't fit in one."""
    message = _SCHEMA.Datagram.new_message()
    place = message.init('told')
    place.kind = told.kind.value
    place.base = told.base_revision
    place.latest = told.latest_revision
    place.settleMs = told.removal_delay_ms
    place.source = told.source
    place.changes = msgspec.msgpack.encode(list(map(_change, told.items)))
    data = _checked(message.to_bytes_packed())
    if len(data) > DATAGRAM_BYTES_MAX:
        raise ValueError(f'{len(data)} bytes of changes')
    return data


def decode_datagram(data: bytes) -> inp.HeartbeatReceived | inp.PeerChanges:
    """Return what a datagram tells; ValueError if it can't be read."""
    if len(data) > DATAGRAM_BYTES_MAX:
        raise ValueError(f'a datagram of {len(data)} bytes')
    try:
        message = _SCHEMA.Datagram.from_bytes_packed(_opened(data))
        match message.which():
            case 'beat':
                return inp.HeartbeatReceived(_beat(message.beat))
            case _:
                return _told(message.told)
    except UNREADABLE as error:
        raise ValueError(f'no datagram of an entry: {error}') from error


def encode_ask(kinds: abc.Sequence[store.Kind]) -> bytes:
    """Return a question for some kinds of objects."""
    message = _SCHEMA.Ask.new_message()
    message.kinds = [kind.value for kind in kinds]
    return _checked(message.to_bytes_packed())


def decode_ask(data: bytes) -> list[store.Kind]:
    """Return the kinds that are asked for; ValueError if it is no ask."""
    try:
        message = _SCHEMA.Ask.from_bytes_packed(_opened(data))
        return [store.Kind(kind) for kind in message.kinds]
    except UNREADABLE as error:
        raise ValueError(f'no question: {error}') from error


def encode_answer(source: str, known: abc.Sequence[inp.PeerSnapshot]) -> bytes:
    """Return what an entry knows of some kinds."""
    message = _SCHEMA.Answer.new_message()
    message.source = source
    places = message.init('known', len(known))
    for place, item in zip(places, known, strict=True):
        place.kind = item.kind.value
        place.latest = item.latest_revision
        place.seen = item.synced_revision
        place.settleMs = item.removal_delay_ms
        rows = msgspec.msgpack.encode(list(map(_row, item.items)))
        # A large configuration goes to all entries at once, over links of
        # a few Mbit/s.
        place.rows = zlib.compress(rows, level=1)
    return _checked(message.to_bytes_packed())


def decode_answer(data: bytes) -> list[inp.PeerSnapshot]:
    """Return what an entry told; ValueError if it can't be read."""
    try:
        message = _SCHEMA.Answer.from_bytes_packed(
            _opened(data), traversal_limit_in_words=2**24
        )
        return [_heard(message.source, place) for place in message.known]
    except UNREADABLE as error:
        raise ValueError(f'no answer: {error}') from error


def _checked(data: bytes) -> bytes:
    """Return bytes after their checksum."""
    return CHECKSUM.pack(zlib.crc32(data)) + data


def _opened(data: bytes) -> bytes:
    """Return what a checksum stands for; ValueError if it does not fit.

    The codec's library takes 100 ms to report bytes that it can't read,
    as it resolves a stack trace by another program.
    """
    if len(data) < CHECKSUM.size:
        raise ValueError('it is too short for a checksum')
    (expected,) = CHECKSUM.unpack_from(data)
    body = data[CHECKSUM.size :]
    if zlib.crc32(body) != expected:
        raise ValueError('its checksum does not fit')
    return body


def _heard(source: str, place: typing.Any) -> inp.PeerSnapshot:  # noqa: ANN401
    kind = store.Kind(place.kind)
    data = zlib.decompressobj().decompress(place.rows, FRAME_BYTES_MAX)
    rows = msgspec.msgpack.decode(data, type=ROWS[kind])
    items = tuple(_item(kind, row, source) for row in rows)
    return inp.PeerSnapshot(
        kind, place.latest, items, source, place.seen, place.settleMs
    )


def _beat(place: typing.Any) -> entries.Heartbeat:  # noqa: ANN401
    return entries.Heartbeat(
        ids.EntryId(place.entry),
        place.incarnation,
        place.leaving,
        place.ready,
        tuple(place.latest),
        place.mayRead,
        place.perS,
    )


def _told(place: typing.Any) -> inp.PeerChanges:  # noqa: ANN401
    kind = store.Kind(place.kind)
    changes = msgspec.msgpack.decode(place.changes, type=CHANGES[kind])
    items = tuple(
        _removed(kind, value)
        if is_gone
        else _item(kind, _whole(kind, value), place.source)
        for is_gone, value in changes
    )
    return inp.PeerChanges(
        kind, place.base, place.latest, items, place.source, place.settleMs
    )


class Change(typing.NamedTuple):
    """Hold the row that changed, or the name of what is gone."""

    is_gone: bool
    value: object


def _change(item: object) -> Change:
    match item:
        case (
            inp.UpstreamDeregistered(name)
            | inp.EntryDeregistered(name)
            | inp.DrainRemoved(name)
        ):
            return Change(is_gone=True, value=name)
        case _:
            return Change(is_gone=False, value=_row(item))


def _whole(kind: store.Kind, row: object) -> object:
    if isinstance(row, str) and kind is not store.Kind.DRAINS:
        raise TypeError(f'{row!r} is no row')
    return row


def _removed(kind: store.Kind, name: object) -> inp.Input:
    if not isinstance(name, str):
        raise TypeError(f'{name!r} names nothing')
    match kind:
        case store.Kind.UPSTREAMS:
            return inp.UpstreamDeregistered(ids.UpstreamId(name))
        case store.Kind.ENTRIES:
            return inp.EntryDeregistered(ids.EntryId(name))
        case store.Kind.DRAINS:
            return inp.DrainRemoved(ids.DomainId(name))
        case store.Kind.CONFIGURATION:
            raise ValueError('configurations are never removed')


def _row(item: object) -> object:
    match item:
        case inp.UpstreamRegistered(row) | inp.EntryRegistered(row):
            return row
        case inp.DrainAdded(domain):
            return domain
        case inp.ConfigurationRead(configuration):
            return configuration
    raise ValueError(f'{item!r} is not a row that entries share')


def _item(
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
