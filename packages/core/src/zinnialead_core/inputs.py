"""Define the inputs of a tick, from outside or between systems."""

import dataclasses

from zinnialead_core.components import keys
from zinnialead_core.components import store
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import notices
from zinnialead_core import timers
from zinnialead_core import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """Report a request of a caller; times are on the core's clock."""

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
    """Report that the caller of a request closed its connection."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStarted:
    """Report that an upstream began an answer too large to buffer."""

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
    """Report the state that an upstream claims; it may be wrong.

    ``asked_ms`` is when the poll began, 0 if that is unknown.
    """

    upstream: ids.UpstreamId
    healthy: bool
    in_flight: int | None
    leaving: bool = False
    asked_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnnounced:
    """Report what an answer announces about the upstream that sent it.

    ``address`` is where it came from, and ``name`` what it answers.
    """

    upstream: ids.UpstreamId
    address: str
    notice: notices.Notice
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """Deliver a message of another entry or of this one."""

    sender: ids.EntryRef
    message: object


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSeen:
    """Report one entry of the platform's list of VMs."""

    entry: ids.EntryId
    domain: ids.DomainId
    address: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VmUnreadable:
    """Report an item of the platform's list of VMs that can't be read.

    ``name`` is empty and ``version`` 0 where they can't be read either.
    """

    name: str
    version: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDone:
    """Report the end of a call to the platform's store.

    ``era`` is the one that the answer told, 0 if it told none.
    """

    call_id: int
    result: store.Result
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRestored:
    """Notify the systems that the store came back from an older copy."""

    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateRead:
    """Report a state read from the platform's store or given at startup.

    ``era`` is the one that the store told, 0 if it told none.
    """

    state: tickets.State
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StateLost:
    """Notify the store that it has lost tickets that are in force here."""


@dataclasses.dataclass(frozen=True, slots=True)
class StateChanged:
    """Notify the systems that a newer ticket is in force."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLost:
    """Notify the systems that an entry was declared dead."""

    ref: ids.EntryRef


@dataclasses.dataclass(frozen=True, slots=True)
class MemberJoined:
    """Notify the systems that an entry, or a new run of one, is alive."""

    ref: ids.EntryRef


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """Notify the systems that a live entry is suspected, leaving or well."""

    ref: ids.EntryRef


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequested:
    """Ask the keys system to claim a request's key."""

    request_id: ids.RequestId
    key: ids.Key
    created_ms: float | None
    deadline_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimHeld:
    """Notify the requests system that its request may ask for a slot."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationRequested:
    """Ask the keys system to confirm the claim of a request with a slot."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimConfirmed:
    """Notify the requests system that its request may be sent."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDenied:
    """Notify the requests system why its request's key was denied."""

    request_id: ids.RequestId
    denial: keys.Denial


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEnded:
    """Notify the keys system how the work under a key ended."""

    request_id: ids.RequestId
    outcome: verdict.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimClosed:
    """Report that the registrars recorded how a request's work ended."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequested:
    """Ask the slots system for a slot for a request."""

    request_id: ids.RequestId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReleased:
    """Notify the slots system that a request no longer needs its slot.

    ``outcome`` is how the attempt ended, None if none was made;
    ``timed_out`` is set if the request's deadline ended it.
    """

    request_id: ids.RequestId
    attempt: int
    outcome: verdict.Outcome | None = None
    elapsed_ms: float = 0.0
    timed_out: bool = False
    answer_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotHeld:
    """Notify the requests system which upstream its request may use."""

    request_id: ids.RequestId
    attempt: int
    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRefused:
    """Notify the requests system why its request gets no slot."""

    request_id: ids.RequestId
    attempt: int
    refusal: verdict.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """Ask the entry to stop once the requests in flight have ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopForced:
    """Ask a stopping entry to answer every request at once, and to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class TimerDue:
    """Report that a timer is due."""

    timer: timers.Timer


Input = (
    RequestArrived
    | CallerDisconnected
    | AnswerStarted
    | DispatchDone
    | UpstreamReport
    | UpstreamAnnounced
    | PeerMessage
    | PeerSeen
    | VmUnreadable
    | StoreDone
    | StoreRestored
    | StateRead
    | StateLost
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
    | StopForced
    | TimerDue
)
