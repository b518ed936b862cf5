"""Define the outputs of a tick: what the application must do."""

import dataclasses
import typing

from zinnialead_core.components import store
from zinnialead_core import ids
from zinnialead_core import verdict

if typing.TYPE_CHECKING:
    from zinnialead_core import inputs


@dataclasses.dataclass(frozen=True, slots=True)
class Notify:
    """Pass an input to the systems within the same tick."""

    notification: 'inputs.Input'


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a message to an entry; one to itself stays in the same tick."""

    entry: ids.EntryId
    message: object


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to an upstream; ``deadline_ms`` bounds the attempt."""

    request_id: ids.RequestId
    attempt: int
    upstream: ids.UpstreamId
    address: str
    deadline_ms: float
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CancelDispatch:
    """Cancel one attempt at an upstream."""

    request_id: ids.RequestId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Forward the upstream's answer of this attempt to the caller."""

    request_id: ids.RequestId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Send the caller the answer recorded under the request's key."""

    request_id: ids.RequestId
    status: int
    record: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the caller's request."""

    request_id: ids.RequestId
    refusal: verdict.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class CallStore:
    """Make one call to the platform's store."""

    call_id: int
    call: store.Call
    deadline_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class LogChange:
    """Log one change of state."""

    component: str
    subject: str
    before: str
    after: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopStarted:
    """Report that the entry admits no request from now on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """Report that the entry has stopped and no request is in flight."""


Output = (
    Notify
    | SendPeer
    | Dispatch
    | CancelDispatch
    | Relay
    | Replay
    | Refuse
    | CallStore
    | LogChange
    | StopStarted
    | Stopped
)
