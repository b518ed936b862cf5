"""Define the data of a chart."""

import typing


class Series(typing.NamedTuple):
    """Hold the points of one line and the line fitted to them."""

    name: str
    x_label: str
    y_label: str
    x: list[float]
    y: list[float]
    fitted: list[float]
