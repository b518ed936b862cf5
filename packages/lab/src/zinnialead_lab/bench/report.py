"""Print the rows of a bench as a table; write them as lines of JSON."""

from collections import abc
import json
import pathlib

import rich.console
import rich.table
from zinnialead_lab.bench import models


def print_table(rows: abc.Iterable[models.ComparisonRow]) -> None:
    """Print the rows as a table."""
    table = rich.table.Table('scenario', 'deployment', 'measure', 'unit')
    for name in ('policy', 'baseline', 'bound', 'holds'):
        table.add_column(name, justify='right')
    for row in rows:
        baseline = '' if row.baseline is None else f'{row.baseline:.4g}'
        holds = 'yes' if row.holds else '[bold red]NO[/]'
        table.add_row(
            row.scenario,
            row.deployment,
            row.measure,
            row.unit,
            f'{row.policy:.4g}',
            baseline,
            row.bound,
            holds if row.bound else '',
        )
    rich.console.Console(width=130).print(table)


def write_lines(
    rows: abc.Iterable[models.ComparisonRow], path: pathlib.Path
) -> None:
    """Write the rows to a file, one JSON object a line."""
    with path.open('w') as file:
        for row in rows:
            file.write(json.dumps(to_line(row)) + '\n')


def to_line(row: models.ComparisonRow) -> models.ComparisonLine:
    """Return a row as a JSON document."""
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
