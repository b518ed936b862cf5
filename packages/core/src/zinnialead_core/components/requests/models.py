"""Define the rows of the requests tables."""

import enum
import typing

from zinnialead_core import ids
from zinnialead_core import verdict


class Phase(enum.Enum):
    """Say what a request waits for.

    One in ``CONFIRM`` has a slot, and waits for the witness of its key.
    One in ``ANSWER`` has begun to be answered, and is not tried again.
    One that is ``ENDING`` has been answered, or its caller has left, but
    its attempt still keeps the upstream busy.
    """

    CLAIM = 'claim'
    SLOT = 'slot'
    CONFIRM = 'confirm'
    UPSTREAM = 'upstream'
    ANSWER = 'answer'
    BACKOFF = 'backoff'
    ENDING = 'ending'


# The phases in which an attempt keeps an upstream busy.
AT_UPSTREAM = (Phase.UPSTREAM, Phase.ANSWER, Phase.ENDING)


class RequestRow(typing.NamedTuple):
    """Hold one request between its arrival and its answer."""

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
    worst: verdict.Verdict
    home_region: ids.RegionId


class RequestTable(typing.NamedTuple):
    """Hold the requests in hand, and what the retry budget has left."""

    rows: dict[ids.RequestId, RequestRow]
    retry_tokens: dict[ids.ServiceId, float]
    stopping: set[str]


def new_table() -> RequestTable:
    """Return a table without requests."""
    return RequestTable({}, {}, set())
