"""Define everything that the gateway's core can ask of the outside."""

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
    """Hand an input to the systems within the same tick."""

    item: 'inputs.Input'


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to an upstream; ``deadline_in_ms`` bounds its work.

    A connection that was idle longer than ``idle_max_ms`` is not used.
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
    """Give the caller the upstream's answer of this attempt.

    ``after_ms`` is the time since the request arrived on ``route``.
    """

    request_id: ids.RequestId
    attempt: int
    route: str = ''
    after_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the caller's request."""

    request_id: ids.RequestId
    refusal: verdict.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class DropUpstream:
    """Close what is idle at an address that is not to be used any more."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendBeat:
    """Send a heartbeat to other entries."""

    addresses: tuple[str, ...]
    beat: entries.Beat


@dataclasses.dataclass(frozen=True, slots=True)
class CallStore:
    """Make one call to the platform's store; ``number`` names it."""

    kind: str
    call: store.Call
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AskPeer:
    """Ask another entry what it knows of some kinds of objects."""

    address: str
    kinds: tuple[store.Kind, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TellPeers:
    """Tell other entries of changes that this one has read."""

    addresses: tuple[str, ...]
    told: 'inputs.ChangesTold'


@dataclasses.dataclass(frozen=True, slots=True)
class LogBelief:
    """Log a change of what the entry believes, with its cause."""

    component: str
    subject: str
    before: str
    after: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogDecision:
    """Log a decision that touches one request, with what decided it.

    ``is_routine`` marks what every request sees; such lines have a budget
    of their own, so that they can't crowd out the others.
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
    | DropUpstream
    | SendBeat
    | CallStore
    | AskPeer
    | TellPeers
    | LogBelief
    | LogDecision
)
