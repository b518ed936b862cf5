"""Encode the messages that distribute the state in force."""

import hashlib

from zinnialead_config.tickets import const as state_const
from zinnialead_config.tickets import states
from zinnialead_core.components.tickets import messages
from zinnialead_core.components.tickets import models
from zinnialead_daemon.components.peers.codec import schema

DIGEST_BYTES = 16


def state_number(message: messages.StateNumber) -> schema.Fields:
    """Return the fields of the number of the state in force."""
    return {'number': message.number, 'digest': message.digest}


def read_state_number(reader: schema.Reader) -> messages.StateNumber:
    """Return the number of the state in force."""
    return messages.StateNumber(reader.number, reader.digest)


def state_ask(message: messages.StateAsk) -> schema.Fields:
    """Return the fields of a request for a state."""
    return {
        'number': message.number,
        'digest': message.digest,
        'part': message.part,
        'wanted': message.wanted,
    }


def read_state_ask(reader: schema.Reader) -> messages.StateAsk:
    """Return a request for a state."""
    return messages.StateAsk(
        reader.number, reader.digest, reader.part, reader.wanted
    )


def state_data(message: messages.StateData) -> schema.Fields:
    """Return the fields of one part of a state."""
    return {
        'document': _document(message.state),
        'part': message.part,
        'parts': message.parts,
    }


def read_state_data(reader: schema.Reader) -> messages.StateData:
    """Return one part of a state."""
    state = _read_document(reader.document)
    return messages.StateData(state, reader.part, reader.parts)


def state_delta(message: messages.StateDelta) -> schema.Fields:
    """Return the fields of the difference between two states."""
    return {
        'baseNumber': message.base_number,
        'baseDigest': message.base_digest,
        'changed': _document(message.changed),
        'removed': [
            {'table': table, 'key': key} for table, key in message.removed
        ],
    }


def read_state_delta(reader: schema.Reader) -> messages.StateDelta:
    """Return the difference between two states."""
    return messages.StateDelta(
        reader.baseNumber,
        reader.baseDigest,
        _read_document(reader.changed),
        tuple((row.table, row.key) for row in reader.removed),
    )


def _document(state: models.State) -> schema.Fields:
    content = states.encode(state)
    return {
        'format': state_const.STATE_FORMAT,
        'digest': _digest(content),
        'content': content,
    }


def _read_document(reader: schema.Reader) -> models.State:
    if reader.format != state_const.STATE_FORMAT:
        raise ValueError(f'state: format {reader.format} is unknown')
    content = bytes(reader.content)
    if bytes(reader.digest) != _digest(content):
        raise ValueError('state: the digest is wrong')
    decoded = states.decode(content)
    if decoded.is_error():
        raise ValueError(f'state: {decoded.error}')
    return decoded.ok


def _digest(content: bytes) -> bytes:
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
