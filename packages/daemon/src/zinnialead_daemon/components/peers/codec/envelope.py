"""Encode a message and its sender as the body of a frame."""

import typing

import capnp
import expression

from zinnialead_core.components.keys import messages as key_messages
from zinnialead_core.components.members import messages as member_messages
from zinnialead_core.components.slots import messages as slot_messages
from zinnialead_core.components.steering import messages as load_messages
from zinnialead_core.components.tickets import messages as state_messages
from zinnialead_core.components.upstreams import messages as upstream_messages
from zinnialead_core import ids
from zinnialead_core import messages
from zinnialead_daemon.components.peers.codec import common
from zinnialead_daemon.components.peers.codec import errors
from zinnialead_daemon.components.peers.codec import keys
from zinnialead_daemon.components.peers.codec import members
from zinnialead_daemon.components.peers.codec import schema
from zinnialead_daemon.components.peers.codec import slots
from zinnialead_daemon.components.peers.codec import steering
from zinnialead_daemon.components.peers.codec import tickets
from zinnialead_daemon.components.peers.codec import upstreams


# pycapnp raises RuntimeError for a value that its enum does not name.
INVALID = (capnp.KjException, RuntimeError, ValueError)


class Envelope(typing.NamedTuple):
    """Hold a message with its sender, sequence number and time."""

    sender: ids.EntryRef
    sequence: int
    sent_ms: float
    message: messages.Message


class EncodedMessage(typing.NamedTuple):
    """Hold the name of a member of the schema's union, and its fields."""

    kind: str
    fields: typing.Any


def encode_body(envelope: Envelope) -> bytes:
    """Return the body of a frame."""
    encoded = _encode(envelope.message)
    builder = schema.Envelope.new_message()
    fields = {
        'sender': common.entry_ref(envelope.sender),
        'sequence': envelope.sequence,
        'sentMs': envelope.sent_ms,
        encoded.kind: encoded.fields,
    }
    schema.fill(builder, fields)
    return typing.cast('bytes', builder.to_bytes_packed())


def decode_body(
    body: bytes,
) -> expression.Result[Envelope, errors.FrameError]:
    """Return the envelope in the body of a frame, or why it is dropped."""
    try:
        reader = schema.Envelope.from_bytes_packed(body)
        sender = common.read_entry_ref(reader.sender)
        sent_ms = common.require_finite(reader.sentMs)
    except INVALID as error:
        return expression.Error(errors.Malformed(str(error)))
    try:
        kind = str(reader.which())
    except capnp.KjException:
        return expression.Error(errors.UnknownKind())
    try:
        message = _read(kind, reader)
    except INVALID as error:
        return expression.Error(errors.Malformed(str(error)))
    return expression.Ok(Envelope(sender, reader.sequence, sent_ms, message))


def _encode(
    message: messages.Message,
) -> EncodedMessage:
    match message:
        case key_messages.BarKey():
            return EncodedMessage('barKey', keys.claim_ask(message))
        case key_messages.ClaimAnswer():
            return EncodedMessage('claimAnswer', keys.claim_answer(message))
        case key_messages.ClaimAsk():
            return EncodedMessage('claimAsk', keys.claim_ask(message))
        case key_messages.ClaimEnd():
            return EncodedMessage('claimEnd', keys.claim_end(message))
        case key_messages.ClaimEndAck():
            return EncodedMessage('claimEndAck', keys.claim_end_ack(message))
        case slot_messages.SlotAnswer():
            return EncodedMessage('slotAnswer', slots.slot_answer(message))
        case slot_messages.SlotAsk():
            return EncodedMessage('slotAsk', slots.slot_ask(message))
        case slot_messages.SlotReturn():
            return EncodedMessage('slotReturn', slots.slot_return(message))
        case slot_messages.SlotWaiting():
            return EncodedMessage('slotWaiting', slots.slot_waiting(message))
        case slot_messages.SlotHeldReport():
            return EncodedMessage('slotHeldReport', slots.slot_held(message))
        case load_messages.LoadReport():
            return EncodedMessage('loadReport', steering.load_report(message))
        case _:
            return _encode_control(message)


def _encode_control(
    message: member_messages.MembersAsk
    | member_messages.MembersPage
    | member_messages.News
    | member_messages.Probe
    | member_messages.ProbeAnswer
    | member_messages.ProbeFor
    | member_messages.ProbeRelayed
    | state_messages.StateAsk
    | state_messages.StateData
    | state_messages.StateDelta
    | state_messages.StateNumber
    | upstream_messages.UpstreamNotice,
) -> EncodedMessage:
    match message:
        case member_messages.Probe():
            return EncodedMessage('probe', members.probe(message))
        case member_messages.ProbeAnswer():
            return EncodedMessage('probeAnswer', members.probe(message))
        case member_messages.ProbeFor():
            return EncodedMessage('probeFor', members.probe_for(message))
        case member_messages.ProbeRelayed():
            return EncodedMessage(
                'probeRelayed', members.probe_relayed(message)
            )
        case member_messages.MembersAsk():
            return EncodedMessage('membersAsk', members.members_ask(message))
        case member_messages.MembersPage():
            return EncodedMessage('membersPage', members.members_page(message))
        case member_messages.News():
            return EncodedMessage('news', members.news(message))
        case state_messages.StateAsk():
            return EncodedMessage('stateAsk', tickets.state_ask(message))
        case state_messages.StateData():
            return EncodedMessage('stateData', tickets.state_data(message))
        case state_messages.StateDelta():
            return EncodedMessage('stateDelta', tickets.state_delta(message))
        case state_messages.StateNumber():
            return EncodedMessage('stateNumber', tickets.state_number(message))
        case upstream_messages.UpstreamNotice():
            fields = upstreams.upstream_notice(message)
            return EncodedMessage('upstreamNotice', fields)


def _read(kind: str, reader: schema.Reader) -> messages.Message:
    match kind:
        case 'barKey':
            return keys.read_bar_key(reader.barKey)
        case 'claimAnswer':
            return keys.read_claim_answer(reader.claimAnswer)
        case 'claimAsk':
            return keys.read_claim_ask(reader.claimAsk)
        case 'claimEnd':
            return keys.read_claim_end(reader.claimEnd)
        case 'claimEndAck':
            return keys.read_claim_end_ack(reader.claimEndAck)
        case 'slotAnswer':
            return slots.read_slot_answer(reader.slotAnswer)
        case 'slotAsk':
            return slots.read_slot_ask(reader.slotAsk)
        case 'slotReturn':
            return slots.read_slot_return(reader.slotReturn)
        case 'slotWaiting':
            return slots.read_slot_waiting(reader.slotWaiting)
        case 'slotHeldReport':
            return slots.read_slot_held(reader.slotHeldReport)
        case 'loadReport':
            return steering.read_load_report(reader.loadReport)
        case _:
            return _read_control(kind, reader)


def _read_control(kind: str, reader: schema.Reader) -> messages.Message:
    match kind:
        case 'probe':
            return members.read_probe(reader.probe)
        case 'probeAnswer':
            return members.read_probe_answer(reader.probeAnswer)
        case 'probeFor':
            return members.read_probe_for(reader.probeFor)
        case 'probeRelayed':
            return members.read_probe_relayed(reader.probeRelayed)
        case 'membersAsk':
            return members.read_members_ask(reader.membersAsk)
        case 'membersPage':
            return members.read_members_page(reader.membersPage)
        case 'news':
            return members.read_news(reader.news)
        case 'stateAsk':
            return tickets.read_state_ask(reader.stateAsk)
        case 'stateData':
            return tickets.read_state_data(reader.stateData)
        case 'stateDelta':
            return tickets.read_state_delta(reader.stateDelta)
        case 'stateNumber':
            return tickets.read_state_number(reader.stateNumber)
        case 'upstreamNotice':
            return upstreams.read_upstream_notice(reader.upstreamNotice)
        case _:
            raise ValueError(f'no reader for {kind!r}')
