"""Hold timers by their due time."""

from collections import abc
import heapq
import typing

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
