"""Define the rows of the slots tables."""

import enum
import typing

from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import verdict


class SlotEnd(enum.Enum):
    """Say how the attempt that held a slot ended at its upstream."""

    SERVED = 'served'
    SHED = 'shed'
    FAILED = 'failed'
    TIMED_OUT = 'timed-out'
    UNUSED = 'unused'


class AskRow(typing.NamedTuple):
    """Hold an ask that this entry has open at a slot owner.

    ``tried`` are the domains that refused it, ``refusal`` is what the
    first of them said, and ``misses`` counts the times that the owner
    left it without a word.
    """

    ask_id: ids.AskId
    service: ids.ServiceId
    rank: ids.RankId
    owner: ids.EntryId
    domain: ids.DomainId
    sent_ms: float
    upstream: ids.UpstreamId | None
    tried: tuple[ids.DomainId, ...]
    refusal: verdict.Refusal | None
    misses: int = 0
    rounds: int = 0


class QueuedRow(typing.NamedTuple):
    """Hold an ask that waits here, at the slot owner, for a slot."""

    ask_id: ids.AskId
    service: ids.ServiceId
    rank: ids.RankId
    queued_ms: float
    deadline_ms: float
    from_domain: ids.DomainId
    avoid: ids.UpstreamId | None
    home_region: ids.RegionId
    body_bytes: int
    tried: tuple[ids.DomainId, ...]
    homeless: bool


class GrantRow(typing.NamedTuple):
    """Hold a slot that is in use.

    ``passed_to`` is the owner that this one handed the slot over to.
    """

    ask_id: ids.AskId
    service: ids.ServiceId
    rank: ids.RankId
    upstream: ids.UpstreamId
    granted_ms: float
    expires_ms: float
    from_domain: ids.DomainId
    passed_to: ids.EntryId | None = None


class ServiceLoadRow(typing.NamedTuple):
    """Hold what a slot owner has measured of one service.

    ``deviation_ms`` is how far service times lie from their mean, on
    average.  ``owned_ms`` is since when this entry owns the service's
    slots, None while another one does.
    """

    service: ids.ServiceId
    service_time_ms: float | None = None
    deviation_ms: float = 0.0
    owned_ms: float | None = None


class RankLoadRow(typing.NamedTuple):
    """Hold a rank's floor credit and its rate of arrivals in a service.

    ``credit`` counts the grants that the rank's floor is owed, and
    ``arrivals`` those of the last seconds, decayed since ``seen_ms``.
    """

    credit: float
    arrivals: float
    seen_ms: float


class LocalRow(typing.NamedTuple):
    """Hold what the state in force gives a service in this domain."""

    upstreams: tuple[tickets.UpstreamRow, ...]
    in_flight_max: int | None


class FormerRow(typing.NamedTuple):
    """Hold a share of a region's limit that held before a ticket."""

    in_flight_max: int
    until_ms: float


class OwnerRow(typing.NamedTuple):
    """Hold who owned a service's slots when that was last worked out."""

    owner: ids.EntryId | None
    fresh_until_ms: float


AskTable = dict[ids.AskId, AskRow]
Line = dict[ids.AskId, None]


class QueueTable(typing.NamedTuple):
    """Hold what a slot owner knows: asks that wait and slots in use.

    ``locals`` is worked out from the state whose number is the one item
    of ``numbers``; ``in_use_peaks`` are the most slots in use of each upstream
    since its last report.
    """

    queued: dict[ids.AskId, QueuedRow]
    rank_queues: dict[ids.ServiceId, dict[ids.RankId, Line]]
    grants: dict[ids.AskId, GrantRow]
    in_use: dict[ids.UpstreamId, int]
    in_use_peaks: dict[ids.UpstreamId, int]
    owners: dict[tuple[ids.ServiceId, ids.DomainId], OwnerRow]
    service_loads: dict[ids.ServiceId, ServiceLoadRow]
    rank_loads: dict[tuple[ids.ServiceId, ids.RankId], RankLoadRow]
    locals: dict[ids.ServiceId, LocalRow]
    former: dict[ids.ServiceId, tuple[FormerRow, ...]]
    numbers: list[int]


def new_asks() -> AskTable:
    """Return a table without asks."""
    return {}


def new_queues() -> QueueTable:
    """Return a table without queued asks and grants."""
    return QueueTable({}, {}, {}, {}, {}, {}, {}, {}, {}, {}, [-1])
