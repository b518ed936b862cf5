"""Encode the structs shared by several components' messages."""

import math

from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_daemon.components.peers.codec import schema


def require_finite(value: float) -> float:
    """Return a finite number, or raise ``ValueError``."""
    if not math.isfinite(value):
        raise ValueError(f'{value} is not a finite number')
    return value


def entry_ref(ref: ids.EntryRef) -> schema.Fields:
    """Return the fields of a reference to a run of an entry."""
    return {'entry': ref.entry, 'incarnation': ref.incarnation}


def read_entry_ref(reader: schema.Reader) -> ids.EntryRef:
    """Return a reference to a run of an entry."""
    return ids.EntryRef(ids.EntryId(reader.entry), reader.incarnation)


def ask_id(value: ids.AskId) -> schema.Fields:
    """Return the fields of the id of a slot or claim request."""
    return {
        'asker': entry_ref(value.asker),
        'requestId': value.request_id,
        'attempt': value.attempt,
    }


def read_ask_id(reader: schema.Reader) -> ids.AskId:
    """Return the id of a slot or claim request."""
    return ids.AskId(
        read_entry_ref(reader.asker),
        ids.RequestId(reader.requestId),
        reader.attempt,
    )


def refusal(value: verdict.Refusal) -> schema.Fields:
    """Return the fields of a refusal."""
    return {
        'verdict': value.verdict.value,
        'reason': value.reason.value,
        'detail': value.detail,
        'retryAfterMs': value.retry_after_ms,
    }


def read_refusal(reader: schema.Reader) -> verdict.Refusal:
    """Return a refusal; an unknown verdict is read as may-have-run."""
    return verdict.Refusal(
        _verdict(reader.verdict),
        _reason(reader.reason),
        reader.detail,
        require_finite(reader.retryAfterMs),
    )


def _verdict(value: str) -> verdict.Verdict:
    try:
        return verdict.Verdict(value)
    except ValueError:
        return verdict.Verdict.MAY_HAVE_RUN


def _reason(value: str) -> verdict.Reason:
    try:
        return verdict.Reason(value)
    except ValueError:
        return verdict.Reason.NOT_READY
