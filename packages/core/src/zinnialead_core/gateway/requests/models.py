"""Define the rows of the requests table."""

import enum
import typing

from zinnialead_core.gateway.routes import models as routes
from zinnialead_core import ids
from zinnialead_core import verdict


class Phase(enum.Enum):
    """Name what a request waits for: capacity, or its upstream's answer."""

    WAITING = 'waiting'
    UPSTREAM = 'upstream'


class RequestRow(typing.NamedTuple):
    """Hold one request between its arrival and its completion.

    ``name`` identifies the request in logs, and ``caller_deadline_ms`` is
    its deadline before the route's timeout is applied.  ``attempt`` counts
    all attempts, ``send_count`` those that may have reached their upstream.
    ``worst_verdict`` is what is known so far of the request's effect.
    ``is_abandoned`` is set when the caller needs no answer any more while
    an attempt is still being cancelled.
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
    send_count: int = 0
    upstream: ids.UpstreamId | None = None
    tried_upstreams: tuple[ids.UpstreamId, ...] = ()
    worst_verdict: verdict.Verdict = verdict.Verdict.NOT_RUN
    is_abandoned: bool = False


class RetryBudgetRow(typing.NamedTuple):
    """Hold one second's requests and retries of a service."""

    second: int
    requests: int
    retries: int


class StopRow(typing.NamedTuple):
    """Hold the times of a graceful stop of this entry.

    Until ``admit_until_ms``, a request is admitted if it is expected to be
    answered by ``answer_by_ms``, after that only if its deadline is by then.
    """

    started_ms: float
    admit_until_ms: float
    answer_by_ms: float


class RequestTable(typing.NamedTuple):
    """Hold current requests, queues by service and the retry budgets.

    ``stops`` holds one row, under ``STOP``, once this entry stops.
    """

    rows: dict[ids.RequestId, RequestRow]
    queues: dict[ids.ServiceId, dict[ids.RequestId, None]]
    retry_budgets: dict[ids.ServiceId, list[RetryBudgetRow]]
    stops: dict[str, StopRow]


STOP = 'stop'


def new_table() -> RequestTable:
    """Return a table without requests."""
    return RequestTable({}, {}, {}, {})
