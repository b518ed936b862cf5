"""Define the rows of the requests table."""

import enum
import typing

from zinnialead_core.gateway.routes import models as routes
from zinnialead_core import ids
from zinnialead_core import verdict


class Phase(enum.Enum):
    """Say what a request waits for: room, or its upstream's answer."""

    WAITING = 'waiting'
    UPSTREAM = 'upstream'


class RequestRow(typing.NamedTuple):
    """Hold one request between its arrival and its answer.

    ``tried`` are the upstreams that it was sent to, ``sends`` counts those
    that took it, and ``worst`` is what is known of its effect so far.
    """

    request_id: ids.RequestId
    name: str
    route: routes.RouteRow
    service: ids.ServiceId
    object_key: str
    arrived_ms: float
    caller_deadline_ms: float
    deadline_ms: float
    phase: Phase
    attempt: int = 0
    sends: int = 0
    upstream: ids.UpstreamId | None = None
    tried: tuple[ids.UpstreamId, ...] = ()
    worst: verdict.Verdict = verdict.Verdict.NOT_RUN
    answered: bool = False


class BudgetRow(typing.NamedTuple):
    """Hold one second's requests and repeats of a service."""

    second: int
    requests: int
    repeats: int


class RequestTable(typing.NamedTuple):
    """Hold the requests in hand, those that wait, and the retry budget."""

    rows: dict[ids.RequestId, RequestRow]
    waiting: dict[ids.ServiceId, dict[ids.RequestId, None]]
    budgets: dict[ids.ServiceId, list[BudgetRow]]
    stopping: set[str]


def new_table() -> RequestTable:
    """Return a table without requests."""
    return RequestTable({}, {}, {}, set())
