"""Format the outcomes by rank, and the checks, as tables."""

from collections import abc
import itertools

import rich.table

from zinnialead_lab.demo import models
from zinnialead_standins import caller as callers

COLUMNS = ('asked', 'ran', 'not run', 'may have run', 'p50 ms', 'p99 ms')


def service_by_rank(demo: models.Demo) -> rich.table.Table:
    """Return a table of outcomes and latencies by part and rank."""
    table = rich.table.Table(title='Service by rank')
    table.add_column('part')
    table.add_column('rank')
    for column in COLUMNS:
        table.add_column(column, justify='right')
    order_by_rank = {row.rank: row.order for row in demo.state.ranks.values()}
    parts = list(dict.fromkeys(row.part for row in demo.sent_work))
    ranks = sorted(order_by_rank, key=lambda rank: order_by_rank[rank])
    for part, rank in itertools.product(parts, ranks):
        outcomes = [
            row.outcome
            for row in demo.sent_work
            if (row.part, row.work.rank) == (part, rank)
        ]
        if outcomes:
            table.add_row(part, rank, *_cells(outcomes))
    return table


def checks(demo: models.Demo) -> rich.table.Table:
    """Return a table of the checks and what was observed."""
    table = rich.table.Table('what must hold', '', 'seen')
    for check in demo.checks:
        mark = '[green]holds' if check.holds else '[red]BROKEN'
        table.add_row(check.name, mark, check.observed)
    return table


def _cells(outcomes: list[callers.Outcome]) -> abc.Iterator[str]:
    outcome_types = [type(outcome) for outcome in outcomes]
    yield str(len(outcomes))
    for outcome_type in (callers.Ran, callers.NotRun, callers.MayHaveRun):
        yield str(outcome_types.count(outcome_type))
    ran_ms = sorted(
        outcome.elapsed_ms
        for outcome in outcomes
        if isinstance(outcome, callers.Ran)
    )
    for quantile in (0.5, 0.99):
        index = int(quantile * (len(ran_ms) - 1))
        yield f'{ran_ms[index]:.1f}' if ran_ms else '-'
