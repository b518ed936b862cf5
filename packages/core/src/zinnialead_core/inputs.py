"""Define everything that the outside can tell the core."""

import dataclasses

from zinnialead_core.components import keys
from zinnialead_core.components import store
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import timers
from zinnialead_core import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """Report a caller's request; ``deadline_ms`` is on the core's clock."""

    request_id: ids.RequestId
    service: ids.ServiceId
    rank: ids.RankId | None
    deadline_ms: float
    key: ids.Key | None = None
    key_created_ms: float | None = None
    body_bytes: int = 0
    replayable: bool = True
    caller_domain: ids.DomainId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Report that the caller of a request went away."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStarted:
    """Report that an upstream began an answer too large to hold back."""

    request_id: ids.RequestId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchDone:
    """Report the end of one attempt at an upstream."""

    request_id: ids.RequestId
    attempt: int
    outcome: verdict.Outcome
    elapsed_ms: float = 0.0
    answer_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Report what an upstream says of itself; its word is not trusted."""

    upstream: ids.UpstreamId
    healthy: bool
    in_flight: int | None
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """Deliver a message from another entry or from this one."""

    sender: ids.EntryRef
    message: object


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSeen:
    """Report one entry that the platform's list of VMs names."""

    entry: ids.EntryId
    domain: ids.DomainId
    address: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDone:
    """Report the end of a call to the platform's store."""

    call_id: int
    result: store.Result


@dataclasses.dataclass(frozen=True, slots=True)
class StateRead:
    """Report a state read from the platform's store or given at start."""

    state: tickets.State


@dataclasses.dataclass(frozen=True, slots=True)
class StateChanged:
    """Tell the systems that another ticket is in force."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLost:
    """Tell the systems that an entry is taken for dead."""

    ref: ids.EntryRef


@dataclasses.dataclass(frozen=True, slots=True)
class MemberJoined:
    """Tell the systems that an entry, or a new run of one, is alive."""

    ref: ids.EntryRef


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """Tell the systems that a live entry is suspected, leaving, or well."""

    ref: ids.EntryRef


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequested:
    """Tell the keys system to claim a request's key."""

    request_id: ids.RequestId
    key: ids.Key
    created_ms: float | None
    deadline_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimHeld:
    """Tell the requests system that its request may ask for a slot."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationRequested:
    """Tell the keys system that a request with a claim has its slot."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimConfirmed:
    """Tell the requests system that its request may be sent."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDenied:
    """Tell the requests system why its request's key may not be used."""

    request_id: ids.RequestId
    denial: keys.Denial


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEnded:
    """Tell the keys system how the work under a key ended."""

    request_id: ids.RequestId
    outcome: verdict.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimClosed:
    """Tell that registrars have confirmed how a request's work ended."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequested:
    """Tell the slots system that a request waits for a slot."""

    request_id: ids.RequestId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReleased:
    """Tell the slots system that a request needs its slot no more.

    ``outcome`` is how the attempt ended, None where none was made;
    ``timed_out`` says that the request's deadline ended it.
    """

    request_id: ids.RequestId
    attempt: int
    outcome: verdict.Outcome | None = None
    elapsed_ms: float = 0.0
    timed_out: bool = False
    answer_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotHeld:
    """Tell the requests system which upstream it may use."""

    request_id: ids.RequestId
    attempt: int
    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRefused:
    """Tell the requests system that it gets no slot."""

    request_id: ids.RequestId
    attempt: int
    refusal: verdict.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """Ask the entry to stop without cutting a request in flight."""


@dataclasses.dataclass(frozen=True, slots=True)
class TimerDue:
    """Report that a timer's time has come."""

    timer: timers.Timer


Input = (
    RequestArrived
    | CallerDisconnected
    | AnswerStarted
    | DispatchDone
    | UpstreamReport
    | PeerMessage
    | PeerSeen
    | StoreDone
    | StateRead
    | StateChanged
    | MemberLost
    | MemberJoined
    | MemberChanged
    | ClaimRequested
    | ClaimHeld
    | ConfirmationRequested
    | ClaimConfirmed
    | ClaimDenied
    | ClaimEnded
    | ClaimClosed
    | SlotRequested
    | SlotReleased
    | SlotHeld
    | SlotRefused
    | StopRequested
    | TimerDue
)
