"""Encode the messages of the members component."""

from zinnialead_core.components.members import messages
from zinnialead_core.components.members import models
from zinnialead_core import ids
from zinnialead_daemon.components.peers.codec import common
from zinnialead_daemon.components.peers.codec import schema

Rows = tuple[models.MemberRow, ...]


def probe(message: messages.Probe | messages.ProbeAnswer) -> schema.Fields:
    """Return the fields of a probe or of its answer."""
    return {
        'sequence': message.sequence,
        'stateNumber': message.state_number,
        'news': _rows(message.news),
    }


def read_probe(reader: schema.Reader) -> messages.Probe:
    """Return a probe."""
    return messages.Probe(
        reader.sequence, reader.stateNumber, _read_rows(reader.news)
    )


def read_probe_answer(reader: schema.Reader) -> messages.ProbeAnswer:
    """Return the answer to a probe."""
    return messages.ProbeAnswer(
        reader.sequence, reader.stateNumber, _read_rows(reader.news)
    )


def probe_for(message: messages.ProbeFor) -> schema.Fields:
    """Return the fields of a request to probe on the sender's behalf."""
    return {'sequence': message.sequence, 'target': message.target}


def read_probe_for(reader: schema.Reader) -> messages.ProbeFor:
    """Return a request to probe on the sender's behalf."""
    return messages.ProbeFor(reader.sequence, ids.EntryId(reader.target))


def probe_relayed(message: messages.ProbeRelayed) -> schema.Fields:
    """Return the fields of a relayed answer to a probe."""
    return {
        'sequence': message.sequence,
        'target': common.entry_ref(message.target),
    }


def read_probe_relayed(reader: schema.Reader) -> messages.ProbeRelayed:
    """Return a relayed answer to a probe."""
    return messages.ProbeRelayed(
        reader.sequence, common.read_entry_ref(reader.target)
    )


def news(message: messages.News) -> list[schema.Fields]:
    """Return the fields of an update of member rows."""
    return _rows(message.news)


def read_news(rows: schema.Reader) -> messages.News:
    """Return an update of member rows."""
    return messages.News(_read_rows(rows))


def members_ask(message: messages.MembersAsk) -> schema.Fields:
    """Return the fields of a request for a page of members."""
    return {'domain': message.domain, 'after': message.after}


def read_members_ask(reader: schema.Reader) -> messages.MembersAsk:
    """Return a request for a page of members."""
    return messages.MembersAsk(reader.domain, ids.EntryId(reader.after))


def members_page(message: messages.MembersPage) -> schema.Fields:
    """Return the fields of a page of members."""
    return {
        'domain': message.domain,
        'after': message.after,
        'last': message.last,
        'news': _rows(message.news),
    }


def read_members_page(reader: schema.Reader) -> messages.MembersPage:
    """Return a page of members."""
    return messages.MembersPage(
        reader.domain,
        ids.EntryId(reader.after),
        reader.last,
        _read_rows(reader.news),
    )


def _rows(rows: Rows) -> list[schema.Fields]:
    return [
        {
            'entry': row.entry,
            'incarnation': row.incarnation,
            'version': row.version,
            'domain': row.domain,
            'address': row.address,
            'health': row.health.value,
            'stateNumber': row.state_number,
            'callersAddress': row.callers_address,
        }
        for row in rows
    ]


def _read_rows(rows: schema.Reader) -> Rows:
    """Return member rows; the recipient sets ``heard_ms``."""
    return tuple(
        models.MemberRow(
            entry=ids.EntryId(row.entry),
            incarnation=row.incarnation,
            domain=ids.DomainId(row.domain),
            address=row.address,
            health=models.Health(str(row.health)),
            heard_ms=0.0,
            state_number=row.stateNumber,
            version=row.version,
            callers_address=row.callersAddress,
        )
        for row in rows
    )
