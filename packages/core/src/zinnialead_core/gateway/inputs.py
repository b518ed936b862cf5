"""Define the inputs of the gateway's core."""

import dataclasses
import typing

from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway.health_checks import models as health_checks
from zinnialead_core.gateway.placement import models as placement
from zinnialead_core.gateway.routes import models as routes
from zinnialead_core.gateway.store import models as store
from zinnialead_core.gateway import timers
from zinnialead_core.gateway.upstreams import models as upstreams
from zinnialead_core import ids
from zinnialead_core import notices
from zinnialead_core import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """Report a request that was received in full.

    ``name`` is the caller's id of the request, ``object_key`` identifies
    the object that it concerns, and ``deadline_in_ms`` is the time left.
    """

    request_id: ids.RequestId
    name: str
    host: str
    path: str
    object_key: str | None
    deadline_in_ms: float | None
    body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Report that the caller of a request closed its connection."""

    request_id: ids.RequestId


class ReportedLoad(typing.NamedTuple):
    """Hold the load that an upstream reports in a response.

    ``work_time_percent`` is how long work takes on its machine at present,
    100 as usual, None if it does not tell.
    """

    running: int
    waiting: int
    slots: int
    work_time_percent: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptDone:
    """Report the outcome of one attempt at an upstream."""

    request_id: ids.RequestId
    attempt: int
    outcome: verdict.Outcome
    elapsed_ms: float = 0.0
    load: ReportedLoad | None = None
    misdirected: bool = False
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamFaulty:
    """Report that the upstream at an address broke the protocol."""

    address: str
    fault: placement.Fault


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnnounced:
    """Report what an answer announces about the upstream that sent it.

    A request to ``upstream`` was answered from ``address``, by another
    upstream if ``is_misdirected``.  ``name`` is the caller's id of it.
    """

    upstream: ids.UpstreamId
    address: str
    is_misdirected: bool
    notice: notices.Notice
    name: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """Report a configuration and where it was read from."""

    configuration: routes.Configuration
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationsListed:
    """Report all configurations in the store."""

    items: tuple[ConfigurationRead, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRegistered:
    """Report a new or changed registration of an upstream."""

    row: upstreams.UpstreamRow


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamDeregistered:
    """Report that an upstream's registration was removed."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRemoved:
    """Notify the systems that an upstream was removed from the table."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """Report all registered upstreams as of a revision of the store."""

    rows: tuple[upstreams.UpstreamRow, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRestarted:
    """Notify the systems that a registration is of another run."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamDisconnected:
    """Report that no connection to an upstream could be opened or kept.

    A connection that ends when its idle time is over is not reported.
    """

    address: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class HealthChecked:
    """Report the result of a ``CheckHealth`` output."""

    upstream: ids.UpstreamId
    result: health_checks.Result


@dataclasses.dataclass(frozen=True, slots=True)
class DrainAdded:
    """Report that a domain's upstreams must not get new requests."""

    domain: ids.DomainId


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRemoved:
    """Report that a domain is no longer drained."""

    domain: ids.DomainId


@dataclasses.dataclass(frozen=True, slots=True)
class DrainsListed:
    """Report all drained domains."""

    domains: tuple[ids.DomainId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRegistered:
    """Report a new or changed registration of an entry."""

    row: entries.EntryRow


@dataclasses.dataclass(frozen=True, slots=True)
class EntryDeregistered:
    """Report that an entry's registration was removed."""

    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesListed:
    """Report all registered entries."""

    rows: tuple[entries.EntryRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """Report the heartbeat of another entry."""

    heartbeat: entries.Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDone:
    """Report the result of a call to the platform's store.

    ``kind`` and ``call_number`` are those of the ``CallStore`` output.
    ``era`` counts the store's restores from a copy, 0 if it is unknown.
    """

    kind: str
    result: store.Result
    call_number: int = 0
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRestored:
    """Notify the systems that the store came back from an older copy.

    Revisions of before say nothing about those of ``era``.
    """

    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSnapshot:
    """Report all objects of a kind that another entry has.

    ``latest_revision`` is the revision of the last change among them, and
    ``synced_revision`` the one up to which the entry has every change, both
    as of the store's ``era``; for a configuration both are its version.
    Upstreams that are absent are removed after ``removal_delay_ms``.
    """

    kind: store.Kind
    latest_revision: int
    items: tuple[object, ...]
    source: str
    synced_revision: int = 0
    removal_delay_ms: float = 0.0
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequestDone:
    """Report that a request for snapshots ended, answered or not."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerChanges:
    """Report changes of a kind that another entry read from the store.

    They are all changes after ``base_revision`` up to ``latest_revision``,
    both as of the store's ``era``.  Deregistered upstreams are removed after
    ``removal_delay_ms``.
    """

    kind: store.Kind
    base_revision: int
    latest_revision: int
    items: tuple[object, ...]
    source: str
    removal_delay_ms: float = 0.0
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Report that the entry has started."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """Request a graceful stop, which completes requests in flight."""


@dataclasses.dataclass(frozen=True, slots=True)
class TimerDue:
    """Report that a timer is due."""

    timer: timers.Timer


Input = (
    RequestArrived
    | CallerDisconnected
    | AttemptDone
    | UpstreamFaulty
    | UpstreamAnnounced
    | ConfigurationRead
    | ConfigurationsListed
    | UpstreamRegistered
    | UpstreamDeregistered
    | UpstreamRemoved
    | UpstreamRestarted
    | UpstreamDisconnected
    | HealthChecked
    | UpstreamsListed
    | DrainAdded
    | DrainRemoved
    | DrainsListed
    | EntryRegistered
    | EntryDeregistered
    | EntriesListed
    | HeartbeatReceived
    | StoreDone
    | StoreRestored
    | PeerSnapshot
    | SnapshotRequestDone
    | PeerChanges
    | Started
    | StopRequested
    | TimerDue
)
