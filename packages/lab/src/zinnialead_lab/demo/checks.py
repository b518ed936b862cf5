"""Check what must hold, by the ledger that every upstream writes."""

from collections import abc

from zinnialead_lab.demo import models
from zinnialead_standins import caller as callers


def after(demo: models.Demo) -> abc.Iterator[models.Check]:
    """Yield the checks of all work that was done."""
    runs = {name: len(rows) for name, rows in demo.ledger.runs.items()}
    keyed = [row for row in demo.done if row.work.keyed]
    doubled = [row for row in keyed if runs.get(row.work.name, 0) > 1]
    yield _none('non-idempotent work ran twice', doubled)
    false = [row for row in keyed if _false_not_run(row, runs)]
    yield _none('"not run" said of work that ran', false)
    unknown = [row for row in keyed if _never_ran(row, runs)]
    yield _none('"ran" said of work that did not', unknown)
    crossed = [
        row for row in demo.done if isinstance(row.answer, callers.Crossed)
    ]
    yield _none('answers crossed or in part', crossed)
    over = [
        made.name
        for made in demo.upstreams.values()
        if made.peak_in_flight > made.profile.slots
    ]
    yield models.Check('upstreams above their slots', not over, f'{over}')


def _none(name: str, rows: list[models.WorkDone]) -> models.Check:
    shown = ', '.join(f'{row.work.name}: {row.answer}' for row in rows[:3])
    return models.Check(name, not rows, f'{len(rows)} {shown}'.strip())


def _false_not_run(row: models.WorkDone, runs: dict[str, int]) -> bool:
    told = isinstance(row.answer, callers.NotRun)
    return told and runs.get(row.work.name, 0) > 0


def _never_ran(row: models.WorkDone, runs: dict[str, int]) -> bool:
    told = isinstance(row.answer, callers.Ran)
    return told and runs.get(row.work.name, 0) == 0
