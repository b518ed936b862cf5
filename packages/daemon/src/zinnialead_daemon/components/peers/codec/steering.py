"""Encode the messages of the steering component."""

from zinnialead_core.components.steering import messages
from zinnialead_core.components.steering import models
from zinnialead_core import ids
from zinnialead_daemon.components.peers.codec import common
from zinnialead_daemon.components.peers.codec import schema


def load_report(message: messages.LoadReport) -> list[schema.Fields]:
    """Return the fields of a report of loads."""
    return [
        {
            'service': row.service,
            'domain': row.domain,
            'slots': row.slots,
            'inUse': row.in_use,
            'queued': row.queued,
            'seenMs': row.seen_ms,
            'serviceTimeMs': row.service_time_ms,
        }
        for row in message.rows
    ]


def read_load_report(rows: schema.Reader) -> messages.LoadReport:
    """Return a report of loads."""
    return messages.LoadReport(
        tuple(
            models.LoadRow(
                service=ids.ServiceId(row.service),
                domain=ids.DomainId(row.domain),
                slots=row.slots,
                in_use=row.inUse,
                queued=row.queued,
                service_time_ms=common.require_finite(row.serviceTimeMs),
                seen_ms=common.require_finite(row.seenMs),
            )
            for row in rows
        )
    )
