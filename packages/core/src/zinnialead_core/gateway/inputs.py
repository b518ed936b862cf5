"""Define everything that the outside can tell the gateway's core."""

import dataclasses
import typing

from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway.routes import models as routes
from zinnialead_core.gateway.store import models as store
from zinnialead_core.gateway import timers
from zinnialead_core.gateway.upstreams import models as upstreams
from zinnialead_core import ids
from zinnialead_core import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """Report a caller's whole request; ``deadline_in_ms`` is what is left.

    ``object_key`` names the object that the request is about.
    """

    request_id: ids.RequestId
    name: str
    host: str
    path: str
    object_key: str | None
    deadline_in_ms: float | None
    body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """Report that the caller of a request went away."""

    request_id: ids.RequestId


class ReportedLoad(typing.NamedTuple):
    """Hold what an upstream says of its load in an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptDone:
    """Report the end of one attempt at an upstream."""

    request_id: ids.RequestId
    attempt: int
    outcome: verdict.Outcome
    elapsed_ms: float = 0.0
    load: ReportedLoad | None = None
    misdirected: bool = False
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """Report a configuration and where it was read."""

    configuration: routes.Configuration
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationsListed:
    """Report every configuration that the store holds."""

    items: tuple[ConfigurationRead, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSeen:
    """Report an upstream's registration, new or changed."""

    row: upstreams.UpstreamRow


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamGone:
    """Report that an upstream's registration was removed."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamDropped:
    """Tell the systems that an upstream is not known any more."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """Report every upstream that is registered, as of a revision."""

    rows: tuple[upstreams.UpstreamRow, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSeen:
    """Report that a domain's upstreams are to get nothing."""

    domain: ids.DomainId


@dataclasses.dataclass(frozen=True, slots=True)
class DrainGone:
    """Report that a domain's upstreams are in service again."""

    domain: ids.DomainId


@dataclasses.dataclass(frozen=True, slots=True)
class DrainsListed:
    """Report every domain that is drained."""

    domains: tuple[ids.DomainId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySeen:
    """Report an entry's registration."""

    row: entries.EntryRow


@dataclasses.dataclass(frozen=True, slots=True)
class EntryGone:
    """Report that an entry's registration was removed."""

    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesListed:
    """Report every entry that is registered."""

    rows: tuple[entries.EntryRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BeatHeard:
    """Deliver another entry's heartbeat."""

    beat: entries.Beat


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDone:
    """Report the end of a call to the platform's store."""

    kind: str
    result: store.Result
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class KindHeard:
    """Report what another entry knows of a kind of objects.

    ``latest`` is the revision of the last change among them, ``seen`` that
    up to which it knows every change.  What is missing is taken for gone
    after ``settle_ms`` only.
    """

    kind: store.Kind
    latest: int
    items: tuple[object, ...]
    source: str
    seen: int = 0
    settle_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesTold:
    """Report changes of a kind that another entry has read.

    They are all that changed from revision ``base`` to ``latest``.
    """

    kind: store.Kind
    base: int
    latest: int
    items: tuple[object, ...]
    source: str
    settle_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Tell the systems to begin."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopAsked:
    """Ask the entry to stop without cutting a request in flight."""


@dataclasses.dataclass(frozen=True, slots=True)
class TimerDue:
    """Report that a timer's time has come."""

    timer: timers.Timer


Input = (
    RequestArrived
    | CallerGone
    | AttemptDone
    | ConfigurationRead
    | ConfigurationsListed
    | UpstreamSeen
    | UpstreamGone
    | UpstreamDropped
    | UpstreamsListed
    | DrainSeen
    | DrainGone
    | DrainsListed
    | EntrySeen
    | EntryGone
    | EntriesListed
    | BeatHeard
    | StoreDone
    | KindHeard
    | ChangesTold
    | Started
    | StopAsked
    | TimerDue
)
