"""Encode answers that are stored for replay under a key."""

import typing

import msgspec

from zinnialead_daemon.components.front import const
from zinnialead_daemon import http


class Record(typing.NamedTuple):
    """Hold the parts of an answer that are stored besides its status."""

    content_type: bytes
    body: bytes


def encode(headers: http.Headers, body: bytes) -> bytes:
    """Return the record of an answer."""
    values = {name.lower(): value for name, value in headers}
    record = Record(values.get(const.HEADER_TYPE, b''), body)
    return msgspec.msgpack.encode(record)


def decode(record: bytes) -> Record | None:
    """Return the decoded record, or None if it is malformed.

    >>> decode(encode([(b'Content-Type', b'text/plain')], b'booked'))
    Record(content_type=b'text/plain', body=b'booked')
    >>> decode(b'booked') is None
    True
    """
    try:
        return msgspec.msgpack.decode(record, type=Record)
    except msgspec.MsgspecError:
        return None
