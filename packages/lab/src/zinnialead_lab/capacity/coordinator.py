"""Measure every slope, and compare it at full size with its budget."""

from collections import abc

from zinnialead_lab.capacity import bad_day
from zinnialead_lab.capacity import blocks
from zinnialead_lab.capacity import const
from zinnialead_lab.capacity import fit
from zinnialead_lab.capacity import models
from zinnialead_lab.capacity import nodes
from zinnialead_lab.capacity import requests
from zinnialead_lab.capacity import sites
from zinnialead_lab.capacity import worlds

BUDGETS = {
    ('control', 'processor'): const.PROCESSOR_MS_PER_S,
    ('control', 'bytes sent'): const.BYTES_PER_S,
    ('busiest node', 'processor'): const.PROCESSOR_MS_PER_S,
    ('busiest node', 'bytes sent'): const.BYTES_PER_S,
    ('busiest node', 'most bytes received in a second'): const.BYTES_PER_S,
    ('look-up', 'table in use'): const.MEMORY_MB,
    ('look-up', 'rows of the state'): const.MEMORY_MB,
    ('membership', 'tables in memory'): const.MEMORY_MB,
    ('store client', 'calls'): const.STORE_READS_PER_S,
    ('spread of tickets', 'in force everywhere'): const.TICKET_S,
}


def slopes(seed: int, short: bool) -> abc.Iterator[models.Slope]:
    """Yield the slopes over blocks, nodes and sites."""
    block_steps = const.SHORT_BLOCK_STEPS if short else const.BLOCK_STEPS
    measured = blocks.measure(block_steps)
    yield from fit.slopes(measured, 'block', const.BLOCKS)
    node_steps = const.SHORT_NODE_STEPS if short else const.NODE_STEPS
    yield from fit.slopes(nodes.measure(node_steps, seed), 'node', const.NODES)
    yield from fit.slopes(worlds.measure(node_steps), 'node', const.NODES)
    site_steps = const.SHORT_SITE_STEPS if short else const.SITE_STEPS
    yield from fit.slopes(sites.measure(site_steps), 'site', const.SITES)


def findings(seed: int, short: bool) -> abc.Iterator[models.Finding]:
    """Yield what a request and the events of the bad day cost."""
    if short:
        count, outage_ms = const.BAD_DAY_SHORT_NODES, const.SHORT_OUTAGE_MS
    else:
        count, outage_ms = const.BAD_DAY_NODES, const.OUTAGE_MS
    yield from requests.measure(seed)
    yield from bad_day.measure(count, outage_ms, seed)


def checks(found: abc.Iterable[models.Slope]) -> abc.Iterator[models.Check]:
    """Yield the comparison with its budget for each slope that has one."""
    for row in found:
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
