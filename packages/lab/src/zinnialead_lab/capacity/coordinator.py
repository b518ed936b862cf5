"""Measure how each cost grows, and compare it with its budget."""

from collections import abc

from zinnialead_lab.capacity import blocks
from zinnialead_lab.capacity import const
from zinnialead_lab.capacity import fit
from zinnialead_lab.capacity import member_memory
from zinnialead_lab.capacity import models
from zinnialead_lab.capacity import nodes
from zinnialead_lab.capacity import recovery
from zinnialead_lab.capacity import requests
from zinnialead_lab.capacity import sites

BUDGETS = {
    ('control', 'processor'): const.BUDGET_PROCESSOR_MS_PER_S,
    ('control', 'bytes sent'): const.BUDGET_BYTES_PER_S,
    ('busiest node', 'processor'): const.BUDGET_PROCESSOR_MS_PER_S,
    ('busiest node', 'bytes sent'): const.BUDGET_BYTES_PER_S,
    (
        'busiest node',
        'most bytes received in a second',
    ): const.BUDGET_BYTES_PER_S,
    ('look-up', 'table in use'): const.BUDGET_MEMORY_MB,
    ('look-up', 'rows of the state'): const.BUDGET_MEMORY_MB,
    ('membership', 'tables in memory'): const.BUDGET_MEMORY_MB,
    ('store client', 'calls'): const.BUDGET_STORE_READS_PER_S,
    ('spread of tickets', 'in force everywhere'): const.BUDGET_TICKET_SPREAD_S,
}


def slopes(seed: int, short: bool) -> abc.Iterator[models.Slope]:
    """Yield each cost's slope over the number of blocks, nodes or sites."""
    block_counts = const.SHORT_BLOCK_COUNTS if short else const.BLOCK_COUNTS
    points = blocks.measure(block_counts)
    yield from fit.fit_slopes(points, 'block', const.DESIGN_BLOCKS)
    node_counts = const.SHORT_NODE_COUNTS if short else const.NODE_COUNTS
    yield from fit.fit_slopes(
        nodes.measure(node_counts, seed), 'node', const.DESIGN_NODES
    )
    yield from fit.fit_slopes(
        member_memory.measure(node_counts), 'node', const.DESIGN_NODES
    )
    site_counts = const.SHORT_SITE_COUNTS if short else const.SITE_COUNTS
    yield from fit.fit_slopes(
        sites.measure(site_counts), 'site', const.DESIGN_SITES
    )


def event_rows(seed: int, short: bool) -> abc.Iterator[models.EventRow]:
    """Yield what one request costs, and what recovery from faults costs."""
    if short:
        count, partition_ms = (
            const.SHORT_RECOVERY_NODES,
            const.SHORT_PARTITION_MS,
        )
    else:
        count, partition_ms = const.RECOVERY_NODES, const.PARTITION_MS
    yield from requests.measure(seed)
    yield from recovery.measure(count, partition_ms, seed)


def checks(
    measured: abc.Iterable[models.Slope],
) -> abc.Iterator[models.Check]:
    """Yield the check of each slope that has a budget."""
    for row in measured:
        budget = BUDGETS.get((row.role, row.quantity))
        if budget is None:
            continue
        yield models.Check(
            row.role,
            row.quantity,
            row.unit,
            row.at_size,
            budget,
            row.at_size <= budget,
            row.at_size <= budget * const.GOAL_SHARE,
        )
