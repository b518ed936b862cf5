"""Print the measurements as tables; write them as lines of JSON."""

from collections import abc
import json
import pathlib

import rich.console
import rich.table
from zinnialead_lab.capacity import coordinator
from zinnialead_lab.capacity import fit
from zinnialead_lab.capacity import models
from zinnialead_lab.plots import models as plot_models


def print_tables(
    slopes: abc.Sequence[models.Slope],
    event_rows: abc.Sequence[models.EventRow],
) -> None:
    """Print slopes, checks and events as tables."""
    console = rich.console.Console(width=130)
    console.print(_slope_table(slopes))
    console.print(_check_table(slopes))
    table = rich.table.Table('event', 'quantity', 'unit', 'value')
    for row in event_rows:
        table.add_row(row.event, row.quantity, row.unit, f'{row.value:.4g}')
    console.print(table)


def write_lines(
    slopes: abc.Iterable[models.Slope],
    event_rows: abc.Iterable[models.EventRow],
    path: pathlib.Path,
) -> None:
    """Write one line of JSON for each slope and each row of an event."""
    with path.open('w') as file:
        for row in slopes:
            file.write(json.dumps(_slope_line(row)) + '\n')
        for event_row in event_rows:
            file.write(json.dumps(_event_line(event_row)) + '\n')


def plot_series(
    slopes: abc.Iterable[models.Slope],
) -> abc.Iterator[plot_models.Series]:
    """Yield the points and the fitted values of each slope for a plot."""
    for row in slopes:
        yield plot_models.Series(
            f'{row.role} {row.quantity}',
            f'{row.per}s',
            row.unit,
            list(row.x),
            list(row.y),
            [fit.value_at(row.curve, x) for x in row.x],
        )


def _slope_table(slopes: abc.Iterable[models.Slope]) -> rich.table.Table:
    table = rich.table.Table('role', 'quantity', 'unit', 'per')
    for name in ('measured', 'fitted', 'at size'):
        table.add_column(name, justify='right')
    for row in slopes:
        table.add_row(
            row.role,
            row.quantity,
            row.unit,
            row.per,
            ' '.join(f'{y:.3g}' for y in row.y),
            fit.formula(row.curve),
            f'{row.at_size:.4g}',
        )
    return table


def _check_table(slopes: abc.Iterable[models.Slope]) -> rich.table.Table:
    table = rich.table.Table('role', 'quantity', 'unit')
    for name in ('at size', 'budget', 'holds', 'half'):
        table.add_column(name, justify='right')
    for row in coordinator.checks(slopes):
        table.add_row(
            row.role,
            row.quantity,
            row.unit,
            f'{row.at_size:.4g}',
            f'{row.budget:g}',
            'yes' if row.within_budget else 'NO',
            'yes' if row.within_goal else 'no',
        )
    return table


def _slope_line(row: models.Slope) -> models.CapacityLine:
    return models.CapacityLine(
        role=row.role,
        quantity=row.quantity,
        unit=row.unit,
        per=row.per,
        measured=[[x, y] for x, y in zip(row.x, row.y, strict=True)],
        formula=fit.formula(row.curve),
        at_size=row.at_size,
        budget=coordinator.BUDGETS.get((row.role, row.quantity)),
    )


def _event_line(row: models.EventRow) -> models.CapacityLine:
    return models.CapacityLine(
        role=row.event,
        quantity=row.quantity,
        unit=row.unit,
        per='',
        measured=[],
        formula='',
        at_size=row.value,
        budget=None,
    )
