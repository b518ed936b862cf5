"""Encode the message of the upstreams component."""

from zinnialead_core.components.upstreams import messages
from zinnialead_core import ids
from zinnialead_core import notices
from zinnialead_daemon.components.peers.codec import common
from zinnialead_daemon.components.peers.codec import schema


def upstream_notice(message: messages.UpstreamNotice) -> schema.Fields:
    """Return the fields of an upstream's announcement."""
    fields: schema.Fields = {
        'upstream': message.upstream,
        'address': message.address,
        'ageMs': message.age_ms,
    }
    match message.notice:
        case notices.Leaves():
            return {**fields, 'leaves': None}
        case notices.Pauses(pause_ms):
            return {**fields, 'pausesMs': pause_ms}


def read_upstream_notice(reader: schema.Reader) -> messages.UpstreamNotice:
    """Return an upstream's announcement."""
    return messages.UpstreamNotice(
        ids.UpstreamId(reader.upstream),
        reader.address,
        _read_notice(reader),
        common.require_finite(reader.ageMs),
    )


def _read_notice(
    reader: schema.Reader,
) -> notices.Leaves | notices.Pauses:
    if str(reader.which()) == 'leaves':
        return notices.Leaves()
    return notices.Pauses(common.require_finite(reader.pausesMs))
