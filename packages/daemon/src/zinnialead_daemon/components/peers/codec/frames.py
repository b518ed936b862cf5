"""Sign frames, and drop those that are foreign, old or seen before.

A frame is its length (4 bytes, little endian, of what follows), the version
of the framing (2), the id of the key (4), the keyed digest (16), the body.
The digest covers the recipient's name, the version and the body, so that a
frame is of no use to another entry.
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

_HEAD = struct.Struct(f'<HI{const.MAC_BYTES}s')
_LENGTH = struct.Struct('<I')


class KeyRow(typing.NamedTuple):
    """Hold one key, made from its secret, and the id in the frames."""

    key_id: int
    secret: bytes


class WindowRow(typing.NamedTuple):
    """Hold which of a sender's last frames were received, as bits."""

    incarnation: int
    highest: int
    seen_bits: int
    heard_ms: float


@dataclasses.dataclass(slots=True)
class Keyring:
    """Hold the keys, the first of which signs, and the senders' windows."""

    keys: tuple[KeyRow, ...]
    windows: dict[ids.EntryId, WindowRow]


def new_keyring(keys: abc.Iterable[settings.PeerKey]) -> Keyring:
    """Return a keyring that signs with the first key and accepts all."""
    return Keyring(tuple(map(_key_row, keys)), {})


def encode(
    keyring: Keyring,
    recipient: ids.EntryId,
    envelope: envelopes.Envelope,
) -> bytes:
    """Return a frame, with its length, for one recipient."""
    body = envelopes.encode_body(envelope)
    key = keyring.keys[0]
    mac = _mac(key.secret, const.FRAME_VERSION, recipient, body)
    head = _HEAD.pack(const.FRAME_VERSION, key.key_id, mac)
    return _LENGTH.pack(len(head) + len(body)) + head + body


def length(prefix: bytes) -> int:
    """Return the length of the frame that follows its length field."""
    found: int = _LENGTH.unpack(prefix)[0]
    return found


def decode(
    keyring: Keyring, me: ids.EntryId, now_ms: float, frame: bytes
) -> expression.Result[envelopes.Envelope, errors.FrameError]:
    """Return what a frame without its length holds, or why it is dropped."""
    if len(frame) < _HEAD.size:
        return expression.Error(errors.Malformed('the frame is cut short'))
    version, key_id, mac = _HEAD.unpack_from(frame)
    if version != const.FRAME_VERSION:
        return expression.Error(errors.UnknownVersion(version))
    body = frame[_HEAD.size :]
    if not _signed(keyring, key_id, mac, me, body):
        return expression.Error(errors.Foreign())
    found = envelopes.decode_body(body)
    return found.bind(lambda x: _unseen(keyring, now_ms, x))


def _key_row(key: settings.PeerKey) -> KeyRow:
    secret = hashlib.blake2b(
        key.secret.encode(), digest_size=const.KEY_BYTES, person=b'peers'
    )
    return KeyRow(key.key_id, secret.digest())


def _signed(
    keyring: Keyring, key_id: int, mac: bytes, me: ids.EntryId, body: bytes
) -> bool:
    return any(
        hmac.compare_digest(
            mac, _mac(key.secret, const.FRAME_VERSION, me, body)
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


def _unseen(
    keyring: Keyring, now_ms: float, envelope: envelopes.Envelope
) -> expression.Result[envelopes.Envelope, errors.FrameError]:
    """Check a frame against its sender's window, and note it there."""
    if abs(now_ms - envelope.sent_ms) > const.FRAME_AGE_MAX_MS:
        return expression.Error(errors.Replayed())
    entry, incarnation = envelope.sender
    row = keyring.windows.get(entry)
    if row is None or row.incarnation < incarnation:
        row = WindowRow(incarnation, envelope.sequence, 0, now_ms)
    noted = _noted(row, envelope.sequence, now_ms)
    if row.incarnation > incarnation or noted is None:
        return expression.Error(errors.Replayed())
    keyring.windows.pop(entry, None)
    keyring.windows[entry] = noted
    _drop_oldest(keyring, now_ms)
    return expression.Ok(envelope)


def _noted(row: WindowRow, sequence: int, now_ms: float) -> WindowRow | None:
    """Return the window with a frame noted, or None for one seen before.

    >>> _noted(WindowRow(1, 7, 1, 0.0), 7, 0.0) is None
    True
    >>> _noted(WindowRow(1, 7, 1, 0.0), 9, 0.0).seen_bits
    5
    """
    ahead = sequence - row.highest
    if ahead > 0:
        kept = (1 << const.REPLAY_WINDOW_FRAMES) - 1
        shifted = min(ahead, const.REPLAY_WINDOW_FRAMES)
        bits = (row.seen_bits << shifted | 1) & kept
        return row._replace(highest=sequence, seen_bits=bits, heard_ms=now_ms)
    bit = 1 << -ahead if -ahead < const.REPLAY_WINDOW_FRAMES else 0
    if not bit or row.seen_bits & bit:
        return None
    return row._replace(seen_bits=row.seen_bits | bit, heard_ms=now_ms)


def _drop_oldest(keyring: Keyring, now_ms: float) -> None:
    """Forget the sender that was heard longest ago, once it is safe.

    Its frames are then older than any that is accepted.
    """
    if len(keyring.windows) <= const.SENDERS_MAX:
        return
    entry = next(iter(keyring.windows))
    if now_ms - keyring.windows[entry].heard_ms > 2 * const.FRAME_AGE_MAX_MS:
        del keyring.windows[entry]
