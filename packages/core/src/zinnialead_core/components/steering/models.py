"""Define the rows of the steering tables."""

import collections
import typing

from zinnialead_core import ids


class LoadRow(typing.NamedTuple):
    """Hold the load of one service in one domain, as its owner saw it."""

    service: ids.ServiceId
    domain: ids.DomainId
    slots: int
    in_use: int
    queued: int
    service_time_ms: float
    seen_ms: float


class RoomRow(typing.NamedTuple):
    """Hold what a slot owner may still send to another domain.

    ``left`` counts the asks that the last report leaves room for, and
    none are sent before ``paused_until_ms``.
    """

    left: float
    paused_until_ms: float


class ShiftRow(typing.NamedTuple):
    """Hold one shift that was let in."""

    at_ms: float
    size_bytes: float


class NeighbourRow(typing.NamedTuple):
    """Hold the other domains that serve a service under one ticket."""

    number: int
    siblings: tuple[ids.DomainId, ...]
    others: tuple[ids.DomainId, ...]


class LinkId(typing.NamedTuple):
    """Name the way of a shift, from a region to a region."""

    from_region: ids.RegionId
    to_region: ids.RegionId


LoadTable = dict[tuple[ids.ServiceId, ids.DomainId], LoadRow]


Way = tuple[ids.ServiceId, LinkId]


class ShiftTable(typing.NamedTuple):
    """Hold the shifts of the last second by service and way.

    ``waiting`` are those let in that wait for a slot, with their sizes in
    bytes; ``rooms`` are by service and domain; ``neighbours`` are kept
    until the next ticket; ``answer_bytes`` are the usual sizes of the
    answers of services.
    """

    sent: dict[Way, collections.deque[ShiftRow]]
    waiting: dict[Way, dict[ids.AskId, float]]
    neighbours: dict[ids.ServiceId, NeighbourRow]
    rooms: dict[tuple[ids.ServiceId, ids.DomainId], RoomRow]
    answer_bytes: dict[ids.ServiceId, float]


def new_loads() -> LoadTable:
    """Return a table without loads."""
    return {}


def new_shifts() -> ShiftTable:
    """Return a table without shifts."""
    return ShiftTable({}, {}, {}, {}, {})
