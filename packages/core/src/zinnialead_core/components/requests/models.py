"""Define the rows and tables of the requests component."""

import enum
import typing

from zinnialead_core import averages
from zinnialead_core import ids
from zinnialead_core import verdict


class Phase(enum.Enum):
    """Name what a request waits for.

    ``CONFIRM`` has a slot and waits for the witness of its key.
    ``ANSWER`` is streaming an answer and is not retried.  ``ENDING`` has
    been answered, or its caller has left, but its attempt still occupies
    the upstream.
    """

    CLAIM = 'claim'
    SLOT = 'slot'
    CONFIRM = 'confirm'
    UPSTREAM = 'upstream'
    ANSWER = 'answer'
    BACKOFF = 'backoff'
    ENDING = 'ending'


# The phases in which an attempt occupies an upstream.
AT_UPSTREAM = (Phase.UPSTREAM, Phase.ANSWER, Phase.ENDING)


class RequestRow(typing.NamedTuple):
    """Hold one request from its arrival until it has ended.

    ``keyed`` work needs a claim on its key.  ``replayable`` work has its
    whole body here and can be sent again.  ``worst_verdict`` covers all
    attempts made so far.
    """

    request_id: ids.RequestId
    service: ids.ServiceId
    rank: ids.RankId
    arrived_ms: float
    deadline_ms: float
    idempotent: bool
    keyed: bool
    replayable: bool
    body_bytes: int
    phase: Phase
    attempt: int
    upstream: ids.UpstreamId | None
    caller_gone: bool
    worst_verdict: verdict.Verdict
    home_region: ids.RegionId


class StopRow(typing.NamedTuple):
    """Hold by when a stopping entry answers every request."""

    answer_by_ms: float


class RequestTable(typing.NamedTuple):
    """Hold the requests in progress and the retry budgets.

    ``stopping`` holds one row once the entry has been asked to stop.
    ``service_times_ms`` has the time that attempts of this entry take.
    """

    rows: dict[ids.RequestId, RequestRow]
    retry_tokens: dict[ids.ServiceId, float]
    stopping: list[StopRow]
    service_times_ms: dict[ids.ServiceId, averages.AverageRow]


def new_table() -> RequestTable:
    """Return an empty table."""
    return RequestTable({}, {}, [], {})
