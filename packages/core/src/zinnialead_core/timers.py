"""Define the core's timers and the table that holds them."""

from collections import abc
import dataclasses
import heapq
import typing

from zinnialead_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDeadline:
    """Fire at a request's deadline."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDue:
    """Fire when a refused attempt may be tried again."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class StopDue:
    """Fire when a stopping entry waits for nothing any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTimeout:
    """Fire when a registrar has not answered a claim in time."""

    request_id: ids.RequestId
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeysExpiry:
    """Fire when expired records of keys may be deleted."""


@dataclasses.dataclass(frozen=True, slots=True)
class BindDue:
    """Fire when a shard of the key bindings may be read or written."""

    shard: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskTimeout:
    """Fire when a slot owner has not answered in time."""

    ask_id: ids.AskId


@dataclasses.dataclass(frozen=True, slots=True)
class QueueExpiry:
    """Fire at the deadline of a queued request for a slot."""

    ask_id: ids.AskId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotsDue:
    """Fire when a slot owner must check its queues again."""

    service: ids.ServiceId


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRound:
    """Fire when the next peer is to be probed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeTimeout:
    """Fire when a probed peer has not answered in time."""

    entry: ids.EntryId
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionTimeout:
    """Fire when a suspected entry is to be declared dead."""

    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class GossipDue:
    """Fire when urgent news of members is to be pushed to peers."""


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadRound:
    """Fire when a peer has not answered a request for a newer state."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldStateDue:
    """Fire when a state that was held back is put in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDue:
    """Fire when the store may be called again."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRound:
    """Fire when the next load reports are due."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamDue:
    """Fire when the pause that an upstream asked for is over."""

    upstream: ids.UpstreamId


Timer = (
    RequestDeadline
    | RetryDue
    | StopDue
    | ClaimTimeout
    | KeysExpiry
    | BindDue
    | AskTimeout
    | QueueExpiry
    | SlotsDue
    | ProbeRound
    | ProbeTimeout
    | SuspicionTimeout
    | GossipDue
    | SpreadRound
    | HeldStateDue
    | StoreDue
    | LoadRound
    | UpstreamDue
)


# The heap is rebuilt when it holds this many entries more than twice the
# number of timers.
STALE_MAX = 1_000


T = typing.TypeVar('T')


class TimerTable(typing.NamedTuple, typing.Generic[T]):
    """Hold the due time of each timer, and a heap to find the next one.

    The heap keeps entries of stopped and reset timers; an entry counts
    only if its time is the one in ``due_ms``.
    """

    due_ms: dict[T, float]
    heap: list[tuple[float, int, T]]
    sequence: list[int]


def new_table() -> TimerTable[typing.Any]:
    """Return a table without timers."""
    return TimerTable({}, [], [0])


def start(table: TimerTable[T], timer: T, due_ms: float) -> None:
    """Start a timer, or reset it if it is already started."""
    table.due_ms[timer] = due_ms
    table.sequence[0] += 1
    heapq.heappush(table.heap, (due_ms, table.sequence[0], timer))
    if len(table.heap) > 2 * len(table.due_ms) + STALE_MAX:
        _drop_stale(table)


def _drop_stale(table: TimerTable[T]) -> None:
    table.heap[:] = [
        entry for entry in table.heap if table.due_ms.get(entry[2]) == entry[0]
    ]
    heapq.heapify(table.heap)


def stop(table: TimerTable[T], timer: T) -> None:
    """Stop a timer, if it was started."""
    table.due_ms.pop(timer, None)


def next_due_ms(table: TimerTable[T]) -> float | None:
    """Return when the earliest timer is due, None without timers."""
    while table.heap:
        due_ms, _, timer = table.heap[0]
        if table.due_ms.get(timer) == due_ms:
            return due_ms
        heapq.heappop(table.heap)
    return None


def pop_due(table: TimerTable[T], now_ms: float) -> abc.Iterator[T]:
    """Remove the timers due by ``now_ms`` and yield them in order."""
    while (due_ms := next_due_ms(table)) is not None and due_ms <= now_ms:
        _, _, timer = heapq.heappop(table.heap)
        del table.due_ms[timer]
        yield timer
