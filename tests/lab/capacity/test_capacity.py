"""Test the fitted curves, the budgets and short measurements."""

import pytest
from zinnialead_lab.capacity import blocks
from zinnialead_lab.capacity import coordinator
from zinnialead_lab.capacity import fit
from zinnialead_lab.capacity import models
from zinnialead_lab.capacity import nodes
from zinnialead_lab.capacity import sites


def test_a_line_is_extrapolated_to_design_size():
    points = [models.Point('r', 'q', 'B', x, 3.0 * x + 5.0) for x in (1, 2, 3)]
    [slope] = fit.fit_slopes(points, 'site', 100.0)
    assert slope.at_size == pytest.approx(305.0)


def test_a_node_mean_is_extrapolated_to_design_size():
    def node_mean(x: float) -> float:
        return 0.5 * x + 2.0 + 40.0 / x

    points = [
        models.Point('r', 'q', 'B', x, node_mean(x), is_node_mean=True)
        for x in (8.0, 16.0, 32.0, 64.0)
    ]
    [slope] = fit.fit_slopes(points, 'node', 930.0)
    assert slope.at_size == pytest.approx(node_mean(930.0))


def test_a_slope_is_compared_with_its_budget_and_half_of_it():
    curve = models.Curve(0.0, 0.0, 12.0, False)
    slope = models.Slope(
        'control', 'processor', 'ms/s', 'node', (), (), curve, 12.0
    )
    [check] = coordinator.checks([slope])
    assert check.within_budget
    assert not check.within_goal


def test_sizes_grow_with_sites():
    small, large = (
        {x.quantity: x.y for x in sites.measure([count])} for count in (8, 64)
    )
    assert large['whole state, size'] > small['whole state, size']
    assert large['report of all, size'] > small['report of all, size']


def test_the_table_in_use_takes_six_bytes_a_block():
    points = {x.quantity: x.y for x in blocks.measure([20_000])}
    assert points['table in use'] == pytest.approx(0.12, rel=0.1)


def test_every_role_of_control_is_metered():
    points = list(nodes.measure([8], seed=1))
    roles = {point.role for point in points}
    assert {'membership', 'load exchange', 'busiest node'} <= roles
    sent = {x.role: x.y for x in points if x.quantity == 'messages'}
    assert sent['load exchange'] > 0
