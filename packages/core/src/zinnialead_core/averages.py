"""Keep moving averages with their mean absolute deviation."""

import typing


class AverageRow(typing.NamedTuple):
    """Hold an exponentially weighted mean and mean absolute deviation."""

    mean: float
    deviation: float = 0.0


def add(row: AverageRow, value: float, weight: float) -> AverageRow:
    """Return the average with one more value.

    >>> add(AverageRow(10.0, 2.0), 20.0, 0.5)
    AverageRow(mean=15.0, deviation=6.0)
    """
    error = value - row.mean
    spread = abs(error) - row.deviation
    return AverageRow(
        row.mean + error * weight, row.deviation + spread * weight
    )
