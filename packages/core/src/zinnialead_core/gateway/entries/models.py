"""Define the rows of the entries table, and the heartbeat."""

import typing

from zinnialead_core import ids


class EntryRow(typing.NamedTuple):
    """Describe an entry as it registered in the store.

    ``speed`` is its processor time in s a second.
    """

    entry: ids.EntryId
    incarnation: int
    domain: ids.DomainId
    region: ids.RegionId
    front_address: str
    peer_address: str
    revision: int = 0
    speed: float = 1.0


class Beat(typing.NamedTuple):
    """Tell other entries that this one runs, and whether it is leaving.

    ``latest`` are the revisions of the last change that it knows of each
    kind of objects, in the kinds' order, and ``may_read`` says whether the
    store answers it, and ``per_s`` is the rate of its callers' requests.
    """

    entry: ids.EntryId
    incarnation: int
    leaving: bool
    ready: bool
    latest: tuple[int, ...] = ()
    may_read: bool = False
    per_s: float = 0.0


class HeardRow(typing.NamedTuple):
    """Hold the last heartbeat of an entry and when it came."""

    beat: Beat
    heard_ms: float


class TrafficRow(typing.NamedTuple):
    """Hold the requests that have arrived, and their rate, at a time."""

    arrived: int = 0
    at_ms: float = 0.0
    per_s: float = 0.0


class EntryTable(typing.NamedTuple):
    """Hold the registered entries and what was heard of them.

    ``seen_ms`` is when a registration was first seen, ``rounds`` counts
    the heartbeats sent, ``leaving`` holds this entry once it stops, and
    ``traffic`` holds one row.
    """

    rows: dict[ids.EntryId, EntryRow]
    heard: dict[ids.EntryId, HeardRow]
    seen_ms: dict[ids.EntryId, float]
    rounds: list[int]
    leaving: set[ids.EntryId]
    traffic: list[TrafficRow]


def new_table() -> EntryTable:
    """Return a table without entries."""
    return EntryTable({}, {}, {}, [0], set(), [TrafficRow()])
