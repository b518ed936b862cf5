"""Encode and decode heartbeats."""

import pathlib
import typing

import capnp

from zinnialead_core.gateway.entries import models
from zinnialead_core import ids

capnp.remove_import_hook()

_PATH = pathlib.Path(__file__).with_name('beat.capnp')
_SCHEMA: typing.Any = capnp.load(str(_PATH))
# A heartbeat that is larger than this is no heartbeat.
BEAT_BYTES_MAX = 512


def encode(beat: models.Beat) -> bytes:
    """Return a heartbeat as the bytes of a datagram."""
    message = _SCHEMA.Beat.new_message()
    message.entry = str(beat.entry)
    message.incarnation = beat.incarnation
    message.leaving = beat.leaving
    message.ready = beat.ready
    return bytes(message.to_bytes_packed())


def decode(data: bytes) -> models.Beat:
    """Return the heartbeat of a datagram; ValueError if it is none."""
    if len(data) > BEAT_BYTES_MAX:
        raise ValueError(f'a heartbeat of {len(data)} bytes')
    try:
        message = _SCHEMA.Beat.from_bytes_packed(data)
        return models.Beat(
            ids.EntryId(message.entry),
            message.incarnation,
            message.leaving,
            message.ready,
        )
    except (capnp.KjException, UnicodeDecodeError) as error:
        raise ValueError(f'no heartbeat: {error}') from error
