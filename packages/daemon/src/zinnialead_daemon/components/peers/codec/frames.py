"""Sign frames, and reject wrongly signed, old and replayed ones.

A frame consists of the length of what follows (4 bytes, little endian), the
version of the framing (2), the key id (4), the keyed digest (16) and the
body. The digest covers the recipient's name, the version and the body, so
that a frame can't be replayed to another entry.
"""

from collections import abc
import dataclasses
import hashlib
import hmac
import struct
import typing

import expression

from zinnialead_config.settings import models as settings
from zinnialead_core import ids
from zinnialead_daemon.components.peers.codec import envelope as envelopes
from zinnialead_daemon.components.peers.codec import errors
from zinnialead_daemon.components.peers import const

_HEADER = struct.Struct(f'<HI{const.MAC_BYTES}s')
_LENGTH = struct.Struct('<I')


class KeyRow(typing.NamedTuple):
    """Hold a key derived from a secret, and its id in frames."""

    key_id: int
    secret: bytes


class WindowRow(typing.NamedTuple):
    """Hold the replay window of a sender.

    Bit n of ``received_bits`` is set if the frame n numbers below
    ``highest_sequence`` was received.
    """

    incarnation: int
    highest_sequence: int
    received_bits: int
    received_ms: float


@dataclasses.dataclass(slots=True)
class Keyring:
    """Hold the keys, of which the first signs, and the replay windows."""

    keys: tuple[KeyRow, ...]
    windows: dict[ids.EntryId, WindowRow]


def new_keyring(keys: abc.Iterable[settings.PeerKey]) -> Keyring:
    """Return a keyring that signs with the first key and accepts all keys."""
    return Keyring(tuple(map(_key_row, keys)), {})


def encode(
    keyring: Keyring,
    recipient: ids.EntryId,
    envelope: envelopes.Envelope,
) -> bytes:
    """Return a signed frame, including its length, for one recipient."""
    body = envelopes.encode_body(envelope)
    key = keyring.keys[0]
    mac = _mac(key.secret, const.FRAME_VERSION, recipient, body)
    header = _HEADER.pack(const.FRAME_VERSION, key.key_id, mac)
    return _LENGTH.pack(len(header) + len(body)) + header + body


def length(prefix: bytes) -> int:
    """Return the length that is given in a frame's length field."""
    frame_length: int = _LENGTH.unpack(prefix)[0]
    return frame_length


def decode(
    keyring: Keyring, recipient: ids.EntryId, now_ms: float, frame: bytes
) -> expression.Result[envelopes.Envelope, errors.FrameError]:
    """Return the envelope in a frame without its length, or an error."""
    if len(frame) < _HEADER.size:
        return expression.Error(errors.Malformed('the frame is cut short'))
    version, key_id, mac = _HEADER.unpack_from(frame)
    if version != const.FRAME_VERSION:
        return expression.Error(errors.UnknownVersion(version))
    body = frame[_HEADER.size :]
    if not _is_signed(keyring, key_id, mac, recipient, body):
        return expression.Error(errors.InvalidSignature())
    result = envelopes.decode_body(body)
    return result.bind(
        lambda envelope: _check_replay(keyring, now_ms, envelope)
    )


def _key_row(key: settings.PeerKey) -> KeyRow:
    secret = hashlib.blake2b(
        key.secret.encode(), digest_size=const.KEY_BYTES, person=b'peers'
    )
    return KeyRow(key.key_id, secret.digest())


def _is_signed(
    keyring: Keyring,
    key_id: int,
    mac: bytes,
    recipient: ids.EntryId,
    body: bytes,
) -> bool:
    return any(
        hmac.compare_digest(
            mac, _mac(key.secret, const.FRAME_VERSION, recipient, body)
        )
        for key in keyring.keys
        if key.key_id == key_id
    )


def _mac(
    secret: bytes, version: int, recipient: ids.EntryId, body: bytes
) -> bytes:
    digest = hashlib.blake2b(key=secret, digest_size=const.MAC_BYTES)
    digest.update(struct.pack('<HI', version, len(recipient)))
    digest.update(recipient.encode())
    digest.update(body)
    return digest.digest()


def _check_replay(
    keyring: Keyring, now_ms: float, envelope: envelopes.Envelope
) -> expression.Result[envelopes.Envelope, errors.FrameError]:
    """Check a frame against its sender's replay window and update it."""
    if abs(now_ms - envelope.sent_ms) > const.FRAME_AGE_MAX_MS:
        return expression.Error(errors.Replayed())
    entry, incarnation = envelope.sender
    row = keyring.windows.get(entry)
    if row is None or row.incarnation < incarnation:
        row = WindowRow(incarnation, envelope.sequence, 0, now_ms)
    updated_row = _mark_received(row, envelope.sequence, now_ms)
    if row.incarnation > incarnation or updated_row is None:
        return expression.Error(errors.Replayed())
    keyring.windows.pop(entry, None)
    keyring.windows[entry] = updated_row
    _evict_oldest_sender(keyring, now_ms)
    return expression.Ok(envelope)


def _mark_received(
    row: WindowRow, sequence: int, now_ms: float
) -> WindowRow | None:
    """Return the window with a frame marked, or None for a replay.

    >>> _mark_received(WindowRow(1, 7, 1, 0.0), 7, 0.0) is None
    True
    >>> _mark_received(WindowRow(1, 7, 1, 0.0), 9, 0.0).received_bits
    5
    """
    offset = sequence - row.highest_sequence
    if offset > 0:
        window_mask = (1 << const.REPLAY_WINDOW_FRAMES) - 1
        shift = min(offset, const.REPLAY_WINDOW_FRAMES)
        bits = (row.received_bits << shift | 1) & window_mask
        return row._replace(
            highest_sequence=sequence, received_bits=bits, received_ms=now_ms
        )
    bit = 1 << -offset if -offset < const.REPLAY_WINDOW_FRAMES else 0
    if not bit or row.received_bits & bit:
        return None
    return row._replace(
        received_bits=row.received_bits | bit, received_ms=now_ms
    )


def _evict_oldest_sender(keyring: Keyring, now_ms: float) -> None:
    """Remove the window of the sender idle for longest, once it is safe.

    That is when its frames are older than any that is accepted.
    """
    if len(keyring.windows) <= const.SENDERS_MAX:
        return
    entry = next(iter(keyring.windows))
    if (
        now_ms - keyring.windows[entry].received_ms
        > 2 * const.FRAME_AGE_MAX_MS
    ):
        del keyring.windows[entry]
