"""Define the rows and tables of the slots component."""

import enum
import typing

from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import verdict


class SlotEnd(enum.Enum):
    """Name how the attempt that used a slot ended at its upstream."""

    SERVED = 'served'
    SHED = 'shed'
    FAILED = 'failed'
    FAULTY = 'faulty'
    TIMED_OUT = 'timed-out'
    UNUSED = 'unused'


class AskRow(typing.NamedTuple):
    """Hold an ask that this entry has sent to a slot owner.

    ``upstream`` is set once a slot is granted.  ``tried`` are the domains
    that refused the ask and ``refusal`` is the first refusal.  ``misses``
    counts timeouts in a row without a response of the owner, and
    ``backoff_steps`` how many times the timeout has doubled.
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
    backoff_steps: int = 0


class QueuedRow(typing.NamedTuple):
    """Hold an ask that is queued at this entry, the slot owner."""

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
    """Hold a slot that is in use and its lease.

    ``handed_over_to`` is the new owner that was sent a report of it.
    """

    ask_id: ids.AskId
    service: ids.ServiceId
    rank: ids.RankId
    upstream: ids.UpstreamId
    granted_ms: float
    expires_ms: float
    from_domain: ids.DomainId
    handed_over_to: ids.EntryId | None = None


class ServiceLoadRow(typing.NamedTuple):
    """Hold a slot owner's measurements of one service.

    ``deviation_ms`` is the mean absolute deviation of the service time.
    ``owned_since_ms`` is when this entry became the owner of the slots,
    None while another entry is.
    """

    service: ids.ServiceId
    service_time_ms: float | None = None
    deviation_ms: float = 0.0
    owned_since_ms: float | None = None


class RankLoadRow(typing.NamedTuple):
    """Hold a rank's floor credit and its arrival rate in a service.

    ``credit`` is the number of grants due to the rank under its floor.
    ``arrivals`` is an exponentially decayed count as of ``seen_ms``.
    """

    credit: float
    arrivals: float
    seen_ms: float


class LocalConfigRow(typing.NamedTuple):
    """Hold a service's upstreams and in-flight limit in this domain."""

    upstreams: tuple[tickets.UpstreamRow, ...]
    in_flight_max: int | None


class PreviousLimitRow(typing.NamedTuple):
    """Hold a share of a region's limit from before a ticket."""

    in_flight_max: int
    until_ms: float


class OwnerRow(typing.NamedTuple):
    """Hold a cached owner of a service's slots."""

    owner: ids.EntryId | None
    valid_until_ms: float


AskTable = dict[ids.AskId, AskRow]
RankQueue = dict[ids.AskId, None]


class QueueTable(typing.NamedTuple):
    """Hold a slot owner's queued asks and slots in use.

    ``state_numbers`` has one item, the number of the state from which
    ``local_configs`` was derived.  ``in_use_peaks`` has the most slots in
    use of each upstream since its last report.
    """

    queued: dict[ids.AskId, QueuedRow]
    rank_queues: dict[ids.ServiceId, dict[ids.RankId, RankQueue]]
    grants: dict[ids.AskId, GrantRow]
    in_use: dict[ids.UpstreamId, int]
    in_use_peaks: dict[ids.UpstreamId, int]
    owners: dict[tuple[ids.ServiceId, ids.DomainId], OwnerRow]
    service_loads: dict[ids.ServiceId, ServiceLoadRow]
    rank_loads: dict[tuple[ids.ServiceId, ids.RankId], RankLoadRow]
    local_configs: dict[ids.ServiceId, LocalConfigRow]
    previous_limits: dict[ids.ServiceId, tuple[PreviousLimitRow, ...]]
    state_numbers: list[int]


def new_asks() -> AskTable:
    """Return a table without asks."""
    return {}


def new_queues() -> QueueTable:
    """Return a table without queued asks and grants."""
    return QueueTable({}, {}, {}, {}, {}, {}, {}, {}, {}, {}, [-1])
