"""Define the rows of the entries table and the heartbeat."""

import typing

from zinnialead_core import ids


class EntryRow(typing.NamedTuple):
    """Hold the registration of an entry.

    ``speed`` is its processor time in s per second.
    """

    entry: ids.EntryId
    incarnation: int
    domain: ids.DomainId
    region: ids.RegionId
    front_address: str
    peer_address: str
    revision: int = 0
    speed: float = 1.0


class Heartbeat(typing.NamedTuple):
    """Announce that an entry is running, and its state.

    ``latest_revisions`` are the revisions of the last change that it has
    of each kind of objects, in the order of the kinds, as of the store's
    ``era``; for configurations it is the version instead, which no restore
    of the store lowers.  ``may_read`` is set if the store answers its calls,
    and ``requests_per_s`` is the rate of requests from its callers.
    """

    entry: ids.EntryId
    incarnation: int
    leaving: bool
    ready: bool
    latest_revisions: tuple[int, ...] = ()
    may_read: bool = False
    requests_per_s: float = 0.0
    era: int = 0


class HeartbeatRow(typing.NamedTuple):
    """Hold the last heartbeat of an entry and when it was received."""

    heartbeat: Heartbeat
    received_ms: float


class TrafficRow(typing.NamedTuple):
    """Hold the number of requests so far, and their rate, at a time."""

    requests: int = 0
    at_ms: float = 0.0
    requests_per_s: float = 0.0


class EntryTable(typing.NamedTuple):
    """Hold the registered entries and their heartbeats.

    ``seen_ms`` is when a run of an entry was first seen, or its removal
    last requested.  ``heartbeat_rounds`` holds one counter, ``leaving``
    this entry once it stops, and ``traffic`` one row.
    """

    rows: dict[ids.EntryId, EntryRow]
    heartbeats: dict[ids.EntryId, HeartbeatRow]
    seen_ms: dict[ids.EntryId, float]
    heartbeat_rounds: list[int]
    leaving: set[ids.EntryId]
    traffic: list[TrafficRow]


def new_table() -> EntryTable:
    """Return a table without entries."""
    return EntryTable({}, {}, {}, [0], set(), [TrafficRow()])
