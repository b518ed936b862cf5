"""Define the rows of the slots tables."""

import typing

from zinnialead_core import ids


class AskRow(typing.NamedTuple):
    """Hold an ask that this entry has open at a slot owner."""

    ask_id: ids.AskId
    service: ids.ServiceId
    owner: ids.EntryId
    sent_ms: float
    upstream: ids.UpstreamId | None


class QueuedRow(typing.NamedTuple):
    """Hold an ask that waits here, at the slot owner, for a slot."""

    ask_id: ids.AskId
    service: ids.ServiceId
    rank: ids.RankId
    queued_ms: float
    deadline_ms: float
    from_domain: ids.DomainId


class GrantRow(typing.NamedTuple):
    """Hold a slot that is in use."""

    ask_id: ids.AskId
    service: ids.ServiceId
    rank: ids.RankId
    upstream: ids.UpstreamId
    granted_ms: float
    expires_ms: float
    from_domain: ids.DomainId


AskTable = dict[ids.AskId, AskRow]


class QueueTable(typing.NamedTuple):
    """Hold what a slot owner knows: asks that wait and slots in use."""

    queued: dict[ids.AskId, QueuedRow]
    lines: dict[tuple[ids.ServiceId, ids.RankId], dict[ids.AskId, None]]
    grants: dict[ids.AskId, GrantRow]
    in_use: dict[ids.UpstreamId, int]


def new_asks() -> AskTable:
    """Return a table without asks."""
    return {}


def new_queues() -> QueueTable:
    """Return a table without queued asks and grants."""
    return QueueTable({}, {}, {}, {})
