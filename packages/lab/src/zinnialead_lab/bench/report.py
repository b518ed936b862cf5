"""Write the rows of a bench as a table and as lines of JSON."""

from collections import abc
import json
import pathlib

import rich.console
import rich.table
from zinnialead_lab.bench import models


def table(rows: abc.Iterable[models.ComparisonRow]) -> None:
    """Print the rows for people."""
    made = rich.table.Table('scenario', 'deployment', 'measure', 'unit')
    for name in ('policy', 'baseline', 'bound', 'holds'):
        made.add_column(name, justify='right')
    for row in rows:
        baseline = '' if row.baseline is None else f'{row.baseline:.4g}'
        holds = 'yes' if row.holds else '[bold red]NO[/]'
        made.add_row(
            row.scenario,
            row.deployment,
            row.measure,
            row.unit,
            f'{row.policy:.4g}',
            baseline,
            row.bound,
            holds if row.bound else '',
        )
    rich.console.Console(width=130).print(made)


def lines(
    rows: abc.Iterable[models.ComparisonRow], path: pathlib.Path
) -> None:
    """Write the rows for programs."""
    with path.open('w') as file:
        for row in rows:
            file.write(json.dumps(line(row)) + '\n')


def line(row: models.ComparisonRow) -> models.ComparisonLine:
    """Return one row as a document."""
    return models.ComparisonLine(
        scenario=row.scenario,
        deployment=row.deployment,
        measure=row.measure,
        unit=row.unit,
        policy=row.policy,
        baseline=row.baseline,
        bound=row.bound,
        holds=row.holds,
    )
