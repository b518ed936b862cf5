"""Print service by rank, and what must hold."""

from collections import abc
import itertools

import rich.table

from zinnialead_lab.demo import models
from zinnialead_standins import caller as callers

COLUMNS = ('asked', 'ran', 'not run', 'may have run', 'p50 ms', 'p99 ms')


def service_by_rank(demo: models.Demo) -> rich.table.Table:
    """Return a table of what each rank got in each part."""
    table = rich.table.Table(title='Service by rank')
    table.add_column('part')
    table.add_column('rank')
    for column in COLUMNS:
        table.add_column(column, justify='right')
    order = {row.rank: row.order for row in demo.state.ranks.values()}
    parts = list(dict.fromkeys(row.part for row in demo.done))
    ranks = sorted(order, key=lambda rank: order[rank])
    for part, rank in itertools.product(parts, ranks):
        answers = [
            row.answer
            for row in demo.done
            if (row.part, row.work.rank) == (part, rank)
        ]
        if answers:
            table.add_row(part, rank, *_cells(answers))
    return table


def checks(demo: models.Demo) -> rich.table.Table:
    """Return a table of what must hold."""
    table = rich.table.Table('what must hold', '', 'seen')
    for check in demo.checks:
        mark = '[green]holds' if check.holds else '[red]BROKEN'
        table.add_row(check.name, mark, check.seen)
    return table


def _cells(answers: list[callers.Outcome]) -> abc.Iterator[str]:
    kinds = [type(answer) for answer in answers]
    yield str(len(answers))
    for kind in (callers.Ran, callers.NotRun, callers.MayHaveRun):
        yield str(kinds.count(kind))
    ran_ms = sorted(
        answer.elapsed_ms
        for answer in answers
        if isinstance(answer, callers.Ran)
    )
    for share in (0.5, 0.99):
        place = int(share * (len(ran_ms) - 1))
        yield f'{ran_ms[place]:.1f}' if ran_ms else '-'
