"""Define the rows of the steering tables."""

import typing

from zinnialead_core import ids


class LoadRow(typing.NamedTuple):
    """Hold the load of one service in one domain, as its owner saw it."""

    service: ids.ServiceId
    domain: ids.DomainId
    slots: int
    in_use: int
    queued: int
    seen_ms: float


LoadTable = dict[tuple[ids.ServiceId, ids.DomainId], LoadRow]


class ShiftTable(typing.NamedTuple):
    """Hold the times of the shifts sent in the last second by link."""

    sent_ms: dict[tuple[ids.RegionId, ids.RegionId], list[float]]


def new_loads() -> LoadTable:
    """Return a table without loads."""
    return {}


def new_shifts() -> ShiftTable:
    """Return a table without shifts."""
    return ShiftTable({})
