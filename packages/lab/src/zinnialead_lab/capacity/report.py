"""Print slopes, budgets and findings, and write them for programs."""

from collections import abc
import json
import pathlib

import rich.console
import rich.table
from zinnialead_lab.capacity import coordinator
from zinnialead_lab.capacity import fit
from zinnialead_lab.capacity import models
from zinnialead_lab.plots import models as plot_models


def tables(
    slopes: abc.Sequence[models.Slope],
    findings: abc.Sequence[models.Finding],
) -> None:
    """Print everything for people."""
    console = rich.console.Console(width=130)
    console.print(_slopes(slopes))
    console.print(_checks(slopes))
    made = rich.table.Table('event', 'quantity', 'unit', 'value')
    for row in findings:
        made.add_row(row.event, row.quantity, row.unit, f'{row.value:.4g}')
    console.print(made)


def lines(
    slopes: abc.Iterable[models.Slope],
    findings: abc.Iterable[models.Finding],
    path: pathlib.Path,
) -> None:
    """Write one line of JSON for each slope and finding."""
    with path.open('w') as file:
        for row in slopes:
            file.write(json.dumps(_slope_line(row)) + '\n')
        for finding in findings:
            file.write(json.dumps(_finding_line(finding)) + '\n')


def series(
    slopes: abc.Iterable[models.Slope],
) -> abc.Iterator[plot_models.Series]:
    """Yield what is drawn of each slope."""
    for row in slopes:
        yield plot_models.Series(
            f'{row.role} {row.quantity}',
            f'{row.per}s',
            row.unit,
            list(row.x),
            list(row.y),
            [fit.value_at(row.curve, x) for x in row.x],
        )


def _slopes(slopes: abc.Iterable[models.Slope]) -> rich.table.Table:
    made = rich.table.Table('role', 'quantity', 'unit', 'per')
    for name in ('measured', 'fitted', 'at size'):
        made.add_column(name, justify='right')
    for row in slopes:
        made.add_row(
            row.role,
            row.quantity,
            row.unit,
            row.per,
            ' '.join(f'{y:.3g}' for y in row.y),
            fit.formula(row.curve),
            f'{row.at_size:.4g}',
        )
    return made


def _checks(slopes: abc.Iterable[models.Slope]) -> rich.table.Table:
    made = rich.table.Table('role', 'quantity', 'unit')
    for name in ('at size', 'budget', 'holds', 'half'):
        made.add_column(name, justify='right')
    for row in coordinator.checks(slopes):
        made.add_row(
            row.role,
            row.quantity,
            row.unit,
            f'{row.at_size:.4g}',
            f'{row.budget:g}',
            'yes' if row.within_budget else 'NO',
            'yes' if row.within_goal else 'no',
        )
    return made


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


def _finding_line(row: models.Finding) -> models.CapacityLine:
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
