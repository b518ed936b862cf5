"""Define the scheduled events of a fleet."""

import dataclasses
import typing

from zinnialead_core.components import store
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_lab.fleet import models

if typing.TYPE_CHECKING:
    from zinnialead_lab.fleet import injections


@dataclasses.dataclass(frozen=True, slots=True)
class Wake:
    """Run the due timers of an entry."""

    ref: ids.EntryRef


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Deliver an input to the current incarnation of an entry."""

    entry: ids.EntryId
    entry_input: inp.Input


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverToIncarnation:
    """Deliver an input unless the entry has restarted since."""

    ref: ids.EntryRef
    entry_input: inp.Input


@dataclasses.dataclass(frozen=True, slots=True)
class WorkArrives:
    """Start a piece of work at its caller."""

    work: models.Work


@dataclasses.dataclass(frozen=True, slots=True)
class CallArrives:
    """Deliver a caller's request to an entry."""

    work_id: models.WorkId
    attempt: int
    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class CallFails:
    """Notify a caller that its connection failed.

    ``sent`` says that its request may have reached the entry.
    """

    work_id: models.WorkId
    attempt: int
    sent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnds:
    """Deliver the answer or refusal of an entry to its caller.

    ``is_own_answer`` says that the answer is that of the caller's work.
    """

    work_id: models.WorkId
    attempt: int
    verdict: verdict.Verdict
    reason: str
    is_own_answer: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallerTimeout:
    """End the wait of a caller for an answer."""

    work_id: models.WorkId


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchArrives:
    """Deliver an attempt to its upstream."""

    row: models.DispatchRow


@dataclasses.dataclass(frozen=True, slots=True)
class CancelArrives:
    """Deliver a cancellation to an upstream."""

    dispatch: models.DispatchId
    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTimeout:
    """End the wait for the answer to a cancellation."""

    dispatch: models.DispatchId


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnds:
    """Finish the run of an attempt at an upstream."""

    row: models.DispatchRow


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeArrives:
    """Deliver the outcome of an attempt to the entry that sent it."""

    dispatch: models.DispatchId
    outcome: verdict.Outcome
    work_id: models.WorkId


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCallArrives:
    """Deliver a call to the store."""

    ref: ids.EntryRef
    output: out.CallStore


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCallEnds:
    """Deliver the result or the timeout of a store call to an entry."""

    ref: ids.EntryRef
    call_id: int
    result: store.Result


@dataclasses.dataclass(frozen=True, slots=True)
class ReportRound:
    """Send the load reports of the upstreams."""


@dataclasses.dataclass(frozen=True, slots=True)
class Inject:
    """Inject a fault or an operator action."""

    injection: 'injections.Injection'


Event = (
    Wake
    | Deliver
    | DeliverToIncarnation
    | WorkArrives
    | CallArrives
    | CallFails
    | CallEnds
    | CallerTimeout
    | DispatchArrives
    | CancelArrives
    | CancelTimeout
    | RunEnds
    | OutcomeArrives
    | StoreCallArrives
    | StoreCallEnds
    | ReportRound
    | Inject
)
