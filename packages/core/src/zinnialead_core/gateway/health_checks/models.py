"""Define the rows and results of health checks."""

import dataclasses
import typing

from zinnialead_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Report an upstream that stays cold for ``cold_ms``, 0 if it is warm."""

    cold_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unclear:
    """Report an answer that does not tell whether the upstream is cold."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """Report a check that got no answer."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Misdirected:
    """Report that another upstream has the address."""


Result = Answered | Unclear | Unreachable | Misdirected


class CheckRow(typing.NamedTuple):
    """Hold an upstream that is being checked.

    ``failures`` counts the checks without an answer, and ``answered_ms`` is
    the time of the first answer that was unclear, None before.
    """

    failures: int = 0
    answered_ms: float | None = None


class HealthCheckTable(typing.NamedTuple):
    """Hold the upstreams that may have started again unnoticed.

    They count as cold until a check or a registration tells.  ``used`` are
    those that this entry has sent a request to since its start.
    """

    rows: dict[ids.UpstreamId, CheckRow]
    used: set[ids.UpstreamId]


def new_table() -> HealthCheckTable:
    """Return a table without upstreams."""
    return HealthCheckTable({}, set())
