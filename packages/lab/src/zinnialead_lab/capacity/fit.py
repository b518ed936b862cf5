"""Fit curves to measured points, and extrapolate them to the design size."""

from collections import abc
import itertools

import numpy as np
from zinnialead_lab.capacity import models


def fit_slopes(
    points: abc.Iterable[models.Point], per: str, design_size: float
) -> abc.Iterator[models.Slope]:
    """Yield the fitted slope of each quantity of each role."""
    sorted_points = sorted(points, key=_series_name)
    for _, group in itertools.groupby(sorted_points, key=_series_name):
        yield _fit_slope(
            sorted(group, key=lambda point: point.x), per, design_size
        )


def value_at(curve: models.Curve, x: float) -> float:
    """Return the value of a curve at ``x``.

    >>> value_at(models.Curve(0.0, 2.0, 10.0, False), 3.0)
    16.0
    >>> value_at(models.Curve(0.5, 2.0, 12.0, True), 3.0)
    7.5
    """
    if curve.is_node_mean:
        return curve.square * x + curve.linear + curve.constant / x
    return curve.linear * x + curve.constant


def formula(curve: models.Curve) -> str:
    """Return the formula of a curve as text.

    >>> formula(models.Curve(0.0, 2.0, 10.0, False))
    '2 x + 10'
    """
    if curve.is_node_mean:
        return (
            f'{curve.square:.3g} x + {curve.linear:.3g}'
            f' + {curve.constant:.3g} / x'
        )
    return f'{curve.linear:.3g} x + {curve.constant:.3g}'


def _series_name(point: models.Point) -> str:
    return f'{point.role}/{point.quantity}/{point.unit}'


def _fit_slope(
    points: abc.Sequence[models.Point], per: str, design_size: float
) -> models.Slope:
    first = points[0]
    curve = _fit_node_mean(points) if first.is_node_mean else _fit_line(points)
    return models.Slope(
        first.role,
        first.quantity,
        first.unit,
        per,
        tuple(point.x for point in points),
        tuple(point.y for point in points),
        curve,
        value_at(curve, design_size),
    )


def _fit_line(points: abc.Sequence[models.Point]) -> models.Curve:
    x, y = [point.x for point in points], [point.y for point in points]
    linear, constant = np.polyfit(x, y, 1)
    return models.Curve(0.0, float(linear), float(constant), False)


def _fit_node_mean(points: abc.Sequence[models.Point]) -> models.Curve:
    x = [point.x for point in points]
    totals = [point.y * point.x for point in points]
    # Two points determine only a line.
    degree = min(2, len(points) - 1)
    coefficients = [float(value) for value in np.polyfit(x, totals, degree)]
    square, linear, constant = [0.0] * (3 - len(coefficients)) + coefficients
    return models.Curve(square, linear, constant, True)
