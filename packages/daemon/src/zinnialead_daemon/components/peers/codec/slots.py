"""Encode the messages of the slots component."""

from zinnialead_core.components.slots import messages
from zinnialead_core import ids
from zinnialead_daemon.components.peers.codec import common
from zinnialead_daemon.components.peers.codec import schema


def slot_ask(message: messages.SlotAsk) -> schema.Fields:
    """Return the fields of an ask for a slot."""
    return {
        'askId': common.ask_id(message.ask_id),
        'service': message.service,
        'rank': message.rank,
        'deadlineInMs': message.deadline_in_ms,
        'fromDomain': message.from_domain,
    }


def read_slot_ask(reader: schema.Reader) -> messages.SlotAsk:
    """Return an ask for a slot."""
    return messages.SlotAsk(
        common.read_ask_id(reader.askId),
        ids.ServiceId(reader.service),
        ids.RankId(reader.rank),
        common.finite(reader.deadlineInMs),
        ids.DomainId(reader.fromDomain),
    )


def slot_answer(message: messages.SlotAnswer) -> schema.Fields:
    """Return the fields of the answer to an ask."""
    fields: schema.Fields = {'askId': common.ask_id(message.ask_id)}
    if message.upstream is not None:
        fields['upstream'] = message.upstream
    if message.refusal is not None:
        fields['refusal'] = common.refusal(message.refusal)
    return fields


def read_slot_answer(reader: schema.Reader) -> messages.SlotAnswer:
    """Return the answer to an ask."""
    refusal = None
    if reader._has('refusal'):
        refusal = common.read_refusal(reader.refusal)
    return messages.SlotAnswer(
        common.read_ask_id(reader.askId), _read_upstream(reader), refusal
    )


def slot_return(message: messages.SlotReturn) -> schema.Fields:
    """Return the fields of a slot that is given back."""
    fields: schema.Fields = {
        'askId': common.ask_id(message.ask_id),
        'elapsedMs': message.elapsed_ms,
        'failed': message.failed,
    }
    if message.upstream is not None:
        fields['upstream'] = message.upstream
    return fields


def read_slot_return(reader: schema.Reader) -> messages.SlotReturn:
    """Return a slot that is given back."""
    return messages.SlotReturn(
        common.read_ask_id(reader.askId),
        _read_upstream(reader),
        common.finite(reader.elapsedMs),
        reader.failed,
    )


def _read_upstream(reader: schema.Reader) -> ids.UpstreamId | None:
    if not reader._has('upstream'):
        return None
    return ids.UpstreamId(reader.upstream)
