"""Encode messages between entries and authenticate their frames."""

from zinnialead_daemon.components.peers.codec.envelope import decode_body
from zinnialead_daemon.components.peers.codec.envelope import encode_body
from zinnialead_daemon.components.peers.codec.envelope import Envelope
from zinnialead_daemon.components.peers.codec.errors import FrameError
from zinnialead_daemon.components.peers.codec.errors import InvalidSignature
from zinnialead_daemon.components.peers.codec.errors import Malformed
from zinnialead_daemon.components.peers.codec.errors import Replayed
from zinnialead_daemon.components.peers.codec.errors import UnknownKind
from zinnialead_daemon.components.peers.codec.errors import UnknownVersion
from zinnialead_daemon.components.peers.codec.frames import decode
from zinnialead_daemon.components.peers.codec.frames import encode
from zinnialead_daemon.components.peers.codec.frames import Keyring
from zinnialead_daemon.components.peers.codec.frames import new_keyring

__all__ = [
    'Envelope',
    'FrameError',
    'InvalidSignature',
    'Keyring',
    'Malformed',
    'Replayed',
    'UnknownKind',
    'UnknownVersion',
    'decode',
    'decode_body',
    'encode',
    'encode_body',
    'new_keyring',
]
