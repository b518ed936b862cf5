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
# A heartbeat that is larger than this is no heartbeat.
BEAT_BYTES_MAX = 512
CHECKSUM = struct.Struct('!I')
# Rows of each kind travel as one list.
ROWS: dict[store.Kind, typing.Any] = {
    store.Kind.CONFIGURATION: list[routes.Configuration],
    store.Kind.DRAINS: list[ids.DomainId],
    store.Kind.UPSTREAMS: list[upstreams.UpstreamRow],
    store.Kind.ENTRIES: list[entries.EntryRow],
}
UNREADABLE = (
    capnp.KjException,
    UnicodeDecodeError,
    msgspec.MsgspecError,
    ValueError,
)


def encode_beat(beat: entries.Beat) -> bytes:
    """Return a heartbeat as the bytes of a datagram."""
    message = _SCHEMA.Beat.new_message()
    message.entry = str(beat.entry)
    message.incarnation = beat.incarnation
    message.leaving = beat.leaving
    message.ready = beat.ready
    message.latest = list(beat.latest)
    return _checked(message.to_bytes_packed())


def decode_beat(data: bytes) -> entries.Beat:
    """Return the heartbeat of a datagram; ValueError if it is none."""
    if len(data) > BEAT_BYTES_MAX:
        raise ValueError(f'a heartbeat of {len(data)} bytes')
    try:
        message = _SCHEMA.Beat.from_bytes_packed(_opened(data))
        return entries.Beat(
            ids.EntryId(message.entry),
            message.incarnation,
            message.leaving,
            message.ready,
            tuple(message.latest),
        )
    except UNREADABLE as error:
        raise ValueError(f'no heartbeat: {error}') from error


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


def encode_answer(source: str, known: abc.Sequence[inp.KindHeard]) -> bytes:
    """Return what an entry knows of some kinds."""
    message = _SCHEMA.Answer.new_message()
    message.source = source
    places = message.init('known', len(known))
    for place, item in zip(places, known, strict=True):
        place.kind = item.kind.value
        place.latest = item.latest
        place.rows = msgspec.msgpack.encode(list(map(_row, item.items)))
    return _checked(message.to_bytes_packed())


def decode_answer(data: bytes) -> list[inp.KindHeard]:
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


def _heard(source: str, place: typing.Any) -> inp.KindHeard:  # noqa: ANN401
    kind = store.Kind(place.kind)
    rows = msgspec.msgpack.decode(place.rows, type=ROWS[kind])
    items = tuple(_item(kind, row, source) for row in rows)
    return inp.KindHeard(kind, place.latest, items, source)


def _row(item: object) -> object:
    match item:
        case inp.UpstreamSeen(row) | inp.EntrySeen(row):
            return row
        case inp.DrainSeen(domain):
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
            return inp.UpstreamSeen(row)
        case store.Kind.ENTRIES:
            return inp.EntrySeen(row)
        case store.Kind.DRAINS:
            return inp.DrainSeen(row)
        case store.Kind.CONFIGURATION:
            return inp.ConfigurationRead(row, source)
