"""Define the events that wait on the fleet's heap."""

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
    """Run an entry's due timers."""

    ref: ids.EntryRef


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Give an entry an input, whichever run of it is there by then."""

    entry: ids.EntryId
    item: inp.Input


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverTo:
    """Give one run of an entry an input; a later run does not get it."""

    ref: ids.EntryRef
    item: inp.Input


@dataclasses.dataclass(frozen=True, slots=True)
class WorkArrives:
    """Start one piece of work at its caller."""

    work: models.Work


@dataclasses.dataclass(frozen=True, slots=True)
class CallArrives:
    """Bring a caller's request to an entry."""

    work_id: models.WorkId
    attempt: int
    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class CallFails:
    """Tell a caller that its connection failed; ``sent`` if in use."""

    work_id: models.WorkId
    attempt: int
    sent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnds:
    """Bring a caller the answer or refusal of an entry."""

    work_id: models.WorkId
    attempt: int
    verdict: verdict.Verdict
    reason: str
    is_own_answer: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeaves:
    """End the patience of a caller."""

    work_id: models.WorkId


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchArrives:
    """Bring one attempt to its upstream."""

    row: models.DispatchRow


@dataclasses.dataclass(frozen=True, slots=True)
class CancelArrives:
    """Bring a cancellation to an upstream."""

    dispatch: models.DispatchId
    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTimeout:
    """Give up waiting for the answer to a cancellation."""

    dispatch: models.DispatchId


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnds:
    """End the run of an attempt at an upstream."""

    row: models.DispatchRow


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeArrives:
    """Bring the outcome of an attempt to the entry that made it."""

    dispatch: models.DispatchId
    outcome: verdict.Outcome
    work_id: models.WorkId


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCallArrives:
    """Bring a call to the store."""

    ref: ids.EntryRef
    output: out.CallStore


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCallEnds:
    """Bring the store's result, or the lack of one, to an entry."""

    ref: ids.EntryRef
    call_id: int
    result: store.Result


@dataclasses.dataclass(frozen=True, slots=True)
class ReportRound:
    """Let the upstreams report to the entries of their domain."""


@dataclasses.dataclass(frozen=True, slots=True)
class Inject:
    """Bring about a fault or an operator's act."""

    injection: 'injections.Injection'


Event = (
    Wake
    | Deliver
    | DeliverTo
    | WorkArrives
    | CallArrives
    | CallFails
    | CallEnds
    | CallerLeaves
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
