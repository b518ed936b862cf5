"""Encode the messages of the slots component."""

from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import models
from zinnialead_core import ids
from zinnialead_daemon.components.peers.codec import common
from zinnialead_daemon.components.peers.codec import schema

SLOT_ENDS = {
    'served': models.SlotEnd.SERVED,
    'shed': models.SlotEnd.SHED,
    'failed': models.SlotEnd.FAILED,
    'timedOut': models.SlotEnd.TIMED_OUT,
    'unused': models.SlotEnd.UNUSED,
}
UINT32_MAX = 2**32 - 1
# Entries of earlier releases read a faulty end as a failed one.
SLOT_END_NAMES = {
    **{end: name for name, end in SLOT_ENDS.items()},
    models.SlotEnd.FAULTY: 'failed',
}


def slot_ask(message: messages.SlotAsk) -> schema.Fields:
    """Return the fields of a request for a slot."""
    fields: schema.Fields = {
        'askId': common.ask_id(message.ask_id),
        'service': message.service,
        'rank': message.rank,
        'deadlineInMs': message.deadline_in_ms,
        'fromDomain': message.from_domain,
        'forwarded': message.forwarded,
        'tried': list(message.tried),
        'homeRegion': message.home_region,
        'bodyBytes': message.body_bytes,
        'homeless': message.homeless,
    }
    if message.avoid is not None:
        fields['avoid'] = message.avoid
    return fields


def read_slot_ask(reader: schema.Reader) -> messages.SlotAsk:
    """Return a request for a slot."""
    return messages.SlotAsk(
        common.read_ask_id(reader.askId),
        ids.ServiceId(reader.service),
        ids.RankId(reader.rank),
        common.require_finite(reader.deadlineInMs),
        ids.DomainId(reader.fromDomain),
        avoid=(ids.UpstreamId(reader.avoid) if reader._has('avoid') else None),
        forwarded=reader.forwarded,
        tried=tuple(ids.DomainId(domain) for domain in reader.tried),
        home_region=ids.RegionId(reader.homeRegion),
        body_bytes=reader.bodyBytes,
        homeless=reader.homeless,
    )


def slot_answer(message: messages.SlotAnswer) -> schema.Fields:
    """Return the fields of the answer to a slot request."""
    fields: schema.Fields = {'askId': common.ask_id(message.ask_id)}
    if message.upstream is not None:
        fields['upstream'] = message.upstream
    if message.refusal is not None:
        fields['refusal'] = common.refusal(message.refusal)
    if message.redirect is not None:
        fields['redirect'] = message.redirect
    if message.polled_ago_ms is not None:
        fields['polledMs'] = min(message.polled_ago_ms + 1, UINT32_MAX)
    return fields


def read_slot_answer(reader: schema.Reader) -> messages.SlotAnswer:
    """Return the answer to a slot request."""
    refusal = None
    if reader._has('refusal'):
        refusal = common.read_refusal(reader.refusal)
    redirect = None
    if reader._has('redirect'):
        redirect = ids.DomainId(reader.redirect)
    return messages.SlotAnswer(
        common.read_ask_id(reader.askId),
        _read_upstream(reader),
        refusal,
        redirect,
        reader.polledMs - 1 if reader.polledMs else None,
    )


def slot_waiting(message: messages.SlotWaiting) -> schema.Fields:
    """Return the fields of a notice that a slot request still waits."""
    return common.ask_id(message.ask_id)


def read_slot_waiting(reader: schema.Reader) -> messages.SlotWaiting:
    """Return a notice that a slot request still waits."""
    return messages.SlotWaiting(common.read_ask_id(reader))


def slot_held(message: messages.SlotHeldReport) -> schema.Fields:
    """Return the fields of a report of a slot in use."""
    return {
        'askId': common.ask_id(message.ask_id),
        'service': message.service,
        'rank': message.rank,
        'upstream': message.upstream,
        'fromDomain': message.from_domain,
    }


def read_slot_held(reader: schema.Reader) -> messages.SlotHeldReport:
    """Return a report of a slot in use."""
    return messages.SlotHeldReport(
        common.read_ask_id(reader.askId),
        ids.ServiceId(reader.service),
        ids.RankId(reader.rank),
        ids.UpstreamId(reader.upstream),
        ids.DomainId(reader.fromDomain),
    )


def slot_return(message: messages.SlotReturn) -> schema.Fields:
    """Return the fields of the return of a slot."""
    fields: schema.Fields = {
        'askId': common.ask_id(message.ask_id),
        'elapsedMs': message.elapsed_ms,
        'end': SLOT_END_NAMES[message.end],
        'answerBytes': message.answer_bytes,
        'faulty': message.end is models.SlotEnd.FAULTY,
    }
    if message.upstream is not None:
        fields['upstream'] = message.upstream
    return fields


def read_slot_return(reader: schema.Reader) -> messages.SlotReturn:
    """Return the message that returns a slot."""
    return messages.SlotReturn(
        common.read_ask_id(reader.askId),
        _read_upstream(reader),
        common.require_finite(reader.elapsedMs),
        _read_slot_end(reader),
        reader.answerBytes,
    )


def _read_slot_end(reader: schema.Reader) -> models.SlotEnd:
    if reader.faulty:
        return models.SlotEnd.FAULTY
    return SLOT_ENDS[str(reader.end)]


def _read_upstream(reader: schema.Reader) -> ids.UpstreamId | None:
    if not reader._has('upstream'):
        return None
    return ids.UpstreamId(reader.upstream)
