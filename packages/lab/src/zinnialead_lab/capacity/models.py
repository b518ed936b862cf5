"""Define the measured points, fitted curves and checks of capacity."""

import typing


class Curve(typing.NamedTuple):
    """Hold ``linear * x + constant``, or the mean cost of ``x`` nodes.

    The mean is ``square * x + linear + constant / x``: the fleet's costs
    for each pair of nodes, each node and the fleet, divided by the nodes.
    """

    square: float
    linear: float
    constant: float
    is_node_mean: bool


class Slope(typing.NamedTuple):
    """Hold a quantity ``y`` measured at sizes ``x``, and its fitted curve.

    ``at_size`` is the curve's value at the design size.
    """

    role: str
    quantity: str
    unit: str
    per: str
    x: tuple[float, ...]
    y: tuple[float, ...]
    curve: Curve
    at_size: float


class Check(typing.NamedTuple):
    """Compare a quantity at the design size with its budget."""

    role: str
    quantity: str
    unit: str
    at_size: float
    budget: float
    within_budget: bool
    within_goal: bool


class Point(typing.NamedTuple):
    """Hold a quantity ``y`` measured at one size ``x``."""

    role: str
    quantity: str
    unit: str
    x: float
    y: float
    is_node_mean: bool = False


class EventRow(typing.NamedTuple):
    """Hold one quantity measured for an event."""

    event: str
    quantity: str
    unit: str
    value: float


class CapacityLine(typing.TypedDict):
    """Describe a slope or an event's quantity as one line of JSON."""

    role: str
    quantity: str
    unit: str
    per: str
    measured: list[list[float]]
    formula: str
    at_size: float
    budget: float | None
