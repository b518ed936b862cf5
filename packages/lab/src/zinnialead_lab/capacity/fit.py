"""Fit curves through what was measured, and read them at full size."""

from collections import abc
import itertools

import numpy as np
from zinnialead_lab.capacity import models


def slopes(
    steps: abc.Iterable[models.Step], per: str, full_size: float
) -> abc.Iterator[models.Slope]:
    """Yield one fitted curve for each quantity of each role."""
    by_name = sorted(steps, key=_name)
    for _, group in itertools.groupby(by_name, key=_name):
        yield _slope(sorted(group, key=lambda x: x.x), per, full_size)


def value_at(curve: models.Curve, x: float) -> float:
    """Return what a curve comes to.

    >>> value_at(models.Curve(0.0, 2.0, 10.0, False), 3.0)
    16.0
    >>> value_at(models.Curve(0.5, 2.0, 12.0, True), 3.0)
    7.5
    """
    if curve.shared:
        return curve.square * x + curve.linear + curve.constant / x
    return curve.linear * x + curve.constant


def formula(curve: models.Curve) -> str:
    """Return a curve as text.

    >>> formula(models.Curve(0.0, 2.0, 10.0, False))
    '2 x + 10'
    """
    if curve.shared:
        return (
            f'{curve.square:.3g} x + {curve.linear:.3g}'
            f' + {curve.constant:.3g} / x'
        )
    return f'{curve.linear:.3g} x + {curve.constant:.3g}'


def _name(step: models.Step) -> str:
    return f'{step.role}/{step.quantity}/{step.unit}'


def _slope(
    steps: abc.Sequence[models.Step], per: str, full_size: float
) -> models.Slope:
    first = steps[0]
    curve = _shared(steps) if first.shared else _line(steps)
    return models.Slope(
        first.role,
        first.quantity,
        first.unit,
        per,
        tuple(step.x for step in steps),
        tuple(step.y for step in steps),
        curve,
        value_at(curve, full_size),
    )


def _line(steps: abc.Sequence[models.Step]) -> models.Curve:
    x, y = [step.x for step in steps], [step.y for step in steps]
    linear, constant = np.polyfit(x, y, 1)
    return models.Curve(0.0, float(linear), float(constant), False)


def _shared(steps: abc.Sequence[models.Step]) -> models.Curve:
    x = [step.x for step in steps]
    totals = [step.y * step.x for step in steps]
    # Two points carry a line only.
    degree = min(2, len(steps) - 1)
    found = [float(value) for value in np.polyfit(x, totals, degree)]
    square, linear, constant = [0.0] * (3 - len(found)) + found
    return models.Curve(square, linear, constant, True)
