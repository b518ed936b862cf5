"""Encode the messages of the keys component."""

from zinnialead_core.components.keys import messages
from zinnialead_core.components.keys import models
from zinnialead_core import ids
from zinnialead_daemon.components.peers.codec import common
from zinnialead_daemon.components.peers.codec import schema


def claim_ask(message: messages.ClaimAsk | messages.BarKey) -> schema.Fields:
    """Return the fields of a request to claim or to bar a key."""
    return {
        'key': message.key,
        'askId': common.ask_id(message.ask_id),
    }


def read_claim_ask(reader: schema.Reader) -> messages.ClaimAsk:
    """Return a request to claim a key."""
    return messages.ClaimAsk(
        ids.Key(reader.key),
        common.read_ask_id(reader.askId),
    )


def read_bar_key(reader: schema.Reader) -> messages.BarKey:
    """Return a request to bar a key."""
    return messages.BarKey(
        ids.Key(reader.key),
        common.read_ask_id(reader.askId),
    )


def claim_answer(message: messages.ClaimAnswer) -> schema.Fields:
    """Return the fields of the answer to a claim."""
    fields = {'key': message.key, 'askId': common.ask_id(message.ask_id)}
    match message.answer:
        case models.Granted():
            return {**fields, 'granted': None}
        case models.Recorded(status, record):
            return {**fields, 'recorded': _recorded(status, record)}
        case models.Denied(refusal):
            return {**fields, 'denied': common.refusal(refusal)}
        case models.Waiting():
            return {**fields, 'waiting': None}
        case models.Freed():
            return {**fields, 'freed': None}
        case models.NotRegistrar():
            return {**fields, 'notRegistrar': None}


def read_claim_answer(reader: schema.Reader) -> messages.ClaimAnswer:
    """Return the answer to a claim."""
    return messages.ClaimAnswer(
        ids.Key(reader.key),
        common.read_ask_id(reader.askId),
        _read_answer(reader),
    )


def claim_end(message: messages.ClaimEnd) -> schema.Fields:
    """Return the fields of a report that a key's work ended."""
    return {
        'key': message.key,
        'askId': common.ask_id(message.ask_id),
        'state': _key_end(message.state),
        'sequence': message.sequence,
    }


def read_claim_end(reader: schema.Reader) -> messages.ClaimEnd:
    """Return a report that a key's work ended."""
    return messages.ClaimEnd(
        ids.Key(reader.key),
        common.read_ask_id(reader.askId),
        reader.sequence,
        _read_key_end(reader.state),
    )


def claim_end_ack(message: messages.ClaimEndAck) -> schema.Fields:
    """Return the fields of the confirmation of a claim's end."""
    return {
        'key': message.key,
        'askId': common.ask_id(message.ask_id),
        'sequence': message.sequence,
    }


def read_claim_end_ack(reader: schema.Reader) -> messages.ClaimEndAck:
    """Return the confirmation of a claim's end."""
    return messages.ClaimEndAck(
        ids.Key(reader.key),
        common.read_ask_id(reader.askId),
        reader.sequence,
    )


def _key_end(state: models.KeyEnd) -> schema.Fields:
    match state:
        case models.Ended(status, record):
            return {'ended': _recorded(status, record)}
        case models.Undecided():
            return {'undecided': None}
        case models.Barred():
            return {'barred': None}
        case None:
            return {'notRun': None}


def _read_key_end(reader: schema.Reader) -> models.KeyEnd:
    match str(reader.which()):
        case 'ended':
            recorded = _read_recorded(reader.ended)
            return models.Ended(recorded.status, recorded.record)
        case 'barred':
            return models.Barred()
        case 'notRun':
            return None
        case _:
            return models.Undecided()


def _read_answer(
    reader: schema.Reader,
) -> models.Answer:
    match str(reader.which()):
        case 'granted':
            return models.Granted()
        case 'recorded':
            return _read_recorded(reader.recorded)
        case 'waiting':
            return models.Waiting()
        case 'freed':
            return models.Freed()
        case 'notRegistrar':
            return models.NotRegistrar()
        case _:
            return models.Denied(common.read_refusal(reader.denied))


def _recorded(status: int, record: bytes | None) -> schema.Fields:
    if record is None:
        return {'status': status}
    return {'status': status, 'record': record}


def _read_recorded(reader: schema.Reader) -> models.Recorded:
    record = bytes(reader.record) if reader._has('record') else None
    return models.Recorded(reader.status, record)
