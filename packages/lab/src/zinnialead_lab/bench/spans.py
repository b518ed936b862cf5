"""Count what overlaps in time, such as runs or requests in flight."""

from collections import abc
import typing


class Span(typing.NamedTuple):
    """Hold the start and the end of an interval of time."""

    from_ms: float
    to_ms: float


def overlap_ms(spans: abc.Iterable[Span], window: Span) -> float:
    """Return the sum of the parts of the spans that lie in a window.

    >>> overlap_ms([Span(0, 5), Span(4, 9)], Span(3, 6))
    4
    """
    return sum(
        max(
            0,
            min(span.to_ms, window.to_ms) - max(span.from_ms, window.from_ms),
        )
        for span in spans
    )


def max_concurrent(spans: abc.Iterable[Span]) -> int:
    """Return the largest number of spans that overlap at one time.

    A span ends before another that starts at the same time.

    >>> max_concurrent([Span(0, 5), Span(4, 9), Span(5, 6)])
    2
    """
    span_list = list(spans)
    changes = [(span.from_ms, 1) for span in span_list]
    changes += [(span.to_ms, -1) for span in span_list]
    most = concurrent = 0
    for _, change in sorted(changes):
        concurrent += change
        most = max(most, concurrent)
    return most


def max_in_window(times_ms: abc.Iterable[float], width_ms: float) -> int:
    """Return the largest number of times in any window of this width.

    >>> max_in_window([0, 400, 900, 1300, 5000], 1000)
    3
    """
    ordered = sorted(times_ms)
    most = start = 0
    for end, time_ms in enumerate(ordered):
        while time_ms - ordered[start] >= width_ms:
            start += 1
        most = max(most, end - start + 1)
    return most
