"""Define the outputs of the gateway's core."""

import dataclasses
import typing

from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway.store import models as store
from zinnialead_core import ids
from zinnialead_core import verdict

if typing.TYPE_CHECKING:
    from zinnialead_core.gateway import inputs


@dataclasses.dataclass(frozen=True, slots=True)
class Notify:
    """Pass an input to the systems within the same tick."""

    notification: 'inputs.Input'


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to an upstream, with ``deadline_in_ms`` left.

    A connection that was idle for longer than ``idle_max_ms`` is not reused.
    """

    request_id: ids.RequestId
    attempt: int
    upstream: ids.UpstreamId
    address: str
    deadline_in_ms: float
    idle_max_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel one attempt at an upstream."""

    request_id: ids.RequestId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Relay the upstream's response of this attempt to the caller.

    ``after_ms`` is the time since the request arrived on ``route``.
    """

    request_id: ids.RequestId
    attempt: int
    route: str = ''
    after_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with a refusal."""

    request_id: ids.RequestId
    refusal: verdict.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to a removed upstream's address."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat to other entries."""

    addresses: tuple[str, ...]
    heartbeat: entries.Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check an upstream's health, answered by ``HealthChecked``."""

    upstream: ids.UpstreamId
    address: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallStore:
    """Make one call to the platform's store, answered by ``StoreDone``."""

    kind: str
    call: store.Call
    call_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSnapshots:
    """Request snapshots of some kinds of objects from another entry."""

    address: str
    kinds: tuple[store.Kind, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendChanges:
    """Send changes that this entry has read to other entries."""

    addresses: tuple[str, ...]
    changes: 'inputs.PeerChanges'


@dataclasses.dataclass(frozen=True, slots=True)
class LogStateChange:
    """Log a change of the entry's view of a subject, with its cause."""

    component: str
    subject: str
    before: str
    after: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogDecision:
    """Log a decision about one request, with the values it was based on.

    ``is_routine`` marks decisions made for every request; they have a rate
    limit of their own, so that they can't crowd out the others.
    """

    request_id: ids.RequestId
    name: str
    decision: str
    inputs: dict[str, str | float | int | None]
    is_routine: bool = False


Output = (
    Notify
    | Dispatch
    | CancelAttempt
    | Relay
    | Refuse
    | CloseIdleConnections
    | SendHeartbeat
    | CheckHealth
    | CallStore
    | RequestSnapshots
    | SendChanges
    | LogStateChange
    | LogDecision
)
