"""Count what overlaps in time: runs, shifts, requests in flight."""

from collections import abc
import typing


class Span(typing.NamedTuple):
    """Hold the start and the end of something."""

    from_ms: float
    to_ms: float


def overlap_ms(spans: abc.Iterable[Span], window: Span) -> float:
    """Return how much of a window the spans fill, added up.

    >>> overlap_ms([Span(0, 5), Span(4, 9)], Span(3, 6))
    4
    """
    return sum(
        max(0, min(x.to_ms, window.to_ms) - max(x.from_ms, window.from_ms))
        for x in spans
    )


def most_at_once(spans: abc.Iterable[Span]) -> int:
    """Return the largest number of spans that stand at one time.

    >>> most_at_once([Span(0, 5), Span(4, 9), Span(5, 6)])
    2
    """
    listed = list(spans)
    changes = [(x.from_ms, 1) for x in listed]
    changes += [(x.to_ms, -1) for x in listed]
    most = now = 0
    for _, change in sorted(changes):
        now += change
        most = max(most, now)
    return most


def most_in_window(times_ms: abc.Iterable[float], width_ms: float) -> int:
    """Return the most times that lie in any window of this width.

    >>> most_in_window([0, 400, 900, 1300, 5000], 1000)
    3
    """
    ordered = sorted(times_ms)
    most = first = 0
    for number, time_ms in enumerate(ordered):
        while time_ms - ordered[first] >= width_ms:
            first += 1
        most = max(most, number - first + 1)
    return most
