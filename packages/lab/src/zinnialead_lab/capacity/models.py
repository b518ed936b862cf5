"""Define what the capacity measurement finds."""

import typing


class Curve(typing.NamedTuple):
    """Hold ``square * x + linear + constant / x``, or a line.

    The first is a share of what the whole fleet spends: a part for each
    pair, for each node, and for the fleet, each divided by the nodes.
    """

    square: float
    linear: float
    constant: float
    shared: bool


class Slope(typing.NamedTuple):
    """Hold a quantity measured in steps, and the curve through it."""

    role: str
    quantity: str
    unit: str
    per: str
    x: tuple[float, ...]
    y: tuple[float, ...]
    curve: Curve
    at_size: float


class Check(typing.NamedTuple):
    """Compare what a quantity comes to at full size with its budget."""

    role: str
    quantity: str
    unit: str
    at_size: float
    budget: float
    within_budget: bool
    within_goal: bool


class Step(typing.NamedTuple):
    """Hold one measured point of a quantity."""

    role: str
    quantity: str
    unit: str
    x: float
    y: float
    shared: bool = False


class Finding(typing.NamedTuple):
    """Hold one figure of the bad day."""

    event: str
    quantity: str
    unit: str
    value: float


class CapacityLine(typing.TypedDict):
    """Write one slope or finding as a line of JSON."""

    role: str
    quantity: str
    unit: str
    per: str
    measured: list[list[float]]
    formula: str
    at_size: float
    budget: float | None
