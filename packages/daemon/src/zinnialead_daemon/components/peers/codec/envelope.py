"""Encode one message with its sender as the body of a frame."""

import typing

import capnp
import expression

from zinnialead_core.components.keys import messages as key_messages
from zinnialead_core.components.members import messages as member_messages
from zinnialead_core.components.slots import messages as slot_messages
from zinnialead_core.components.steering import messages as load_messages
from zinnialead_core.components.tickets import messages as state_messages
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


class Envelope(typing.NamedTuple):
    """Hold a message, who sent it and when."""

    sender: ids.EntryRef
    sequence: int
    sent_ms: float
    message: messages.Message


class Coded(typing.NamedTuple):
    """Name a member of the schema's union, with its fields."""

    kind: str
    fields: typing.Any


def encode_body(envelope: Envelope) -> bytes:
    """Return the body of a frame."""
    coded = _fields(envelope.message)
    built = schema.Envelope.new_message()
    fields = {
        'sender': common.entry_ref(envelope.sender),
        'sequence': envelope.sequence,
        'sentMs': envelope.sent_ms,
        coded.kind: coded.fields,
    }
    schema.fill(built, fields)
    return typing.cast('bytes', built.to_bytes_packed())


def decode_body(
    body: bytes,
) -> expression.Result[Envelope, errors.FrameError]:
    """Return what a frame's body holds, or why it is dropped."""
    try:
        reader = schema.Envelope.from_bytes_packed(body)
        sender = common.read_entry_ref(reader.sender)
        sent_ms = common.finite(reader.sentMs)
    except (capnp.KjException, ValueError) as error:
        return expression.Error(errors.Malformed(str(error)))
    try:
        kind = str(reader.which())
    except capnp.KjException:
        return expression.Error(errors.UnknownKind())
    try:
        message = _read(kind, reader)
    except (capnp.KjException, ValueError) as error:
        return expression.Error(errors.Malformed(str(error)))
    return expression.Ok(Envelope(sender, reader.sequence, sent_ms, message))


def _fields(
    message: messages.Message,
) -> Coded:
    match message:
        case key_messages.BarKey():
            return Coded('barKey', keys.ask(message))
        case key_messages.ClaimAnswer():
            return Coded('claimAnswer', keys.claim_answer(message))
        case key_messages.ClaimAsk():
            return Coded('claimAsk', keys.ask(message))
        case key_messages.ClaimEnd():
            return Coded('claimEnd', keys.claim_end(message))
        case key_messages.ClaimEndAck():
            return Coded('claimEndAck', keys.claim_end_ack(message))
        case slot_messages.SlotAnswer():
            return Coded('slotAnswer', slots.slot_answer(message))
        case slot_messages.SlotAsk():
            return Coded('slotAsk', slots.slot_ask(message))
        case slot_messages.SlotReturn():
            return Coded('slotReturn', slots.slot_return(message))
        case slot_messages.SlotWaiting():
            return Coded('slotWaiting', slots.slot_waiting(message))
        case slot_messages.SlotHeldReport():
            return Coded('slotHeldReport', slots.slot_held(message))
        case load_messages.LoadReport():
            return Coded('loadReport', steering.load_report(message))
        case _:
            return _control_fields(message)


def _control_fields(
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
    | state_messages.StateNumber,
) -> Coded:
    match message:
        case member_messages.Probe():
            return Coded('probe', members.probe(message))
        case member_messages.ProbeAnswer():
            return Coded('probeAnswer', members.probe(message))
        case member_messages.ProbeFor():
            return Coded('probeFor', members.probe_for(message))
        case member_messages.ProbeRelayed():
            return Coded('probeRelayed', members.probe_relayed(message))
        case member_messages.MembersAsk():
            return Coded('membersAsk', members.members_ask(message))
        case member_messages.MembersPage():
            return Coded('membersPage', members.members_page(message))
        case member_messages.News():
            return Coded('news', members.news(message))
        case state_messages.StateAsk():
            return Coded('stateAsk', tickets.state_ask(message))
        case state_messages.StateData():
            return Coded('stateData', tickets.state_data(message))
        case state_messages.StateDelta():
            return Coded('stateDelta', tickets.state_delta(message))
        case state_messages.StateNumber():
            return Coded('stateNumber', tickets.state_number(message))


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
        case _:
            raise ValueError(f'no reader for {kind!r}')
