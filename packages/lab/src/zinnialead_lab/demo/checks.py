"""Check the outcomes of all work against the upstreams' ledger of runs."""

from collections import abc

from zinnialead_lab.demo import models
from zinnialead_standins import caller as callers


def check_all(demo: models.Demo) -> abc.Iterator[models.Check]:
    """Yield the checks of all work that was sent."""
    runs = {name: len(rows) for name, rows in demo.ledger.runs.items()}
    keyed = [row for row in demo.sent_work if row.work.keyed]
    ran_twice = [row for row in keyed if runs.get(row.work.name, 0) > 1]
    yield _expect_none('non-idempotent work ran twice', ran_twice)
    false_not_run = [row for row in keyed if _false_not_run(row, runs)]
    yield _expect_none('"not run" said of work that ran', false_not_run)
    false_ran = [row for row in keyed if _false_ran(row, runs)]
    yield _expect_none('"ran" said of work that did not', false_ran)
    crossed = [
        row
        for row in demo.sent_work
        if isinstance(row.outcome, callers.Crossed)
    ]
    yield _expect_none('answers crossed or in part', crossed)
    overloaded = [
        upstream.name
        for upstream in demo.upstreams.values()
        if upstream.peak_in_flight > upstream.profile.slots
    ]
    yield models.Check(
        'upstreams above their slots', not overloaded, f'{overloaded}'
    )


def _expect_none(name: str, rows: list[models.SentWork]) -> models.Check:
    examples = ', '.join(f'{row.work.name}: {row.outcome}' for row in rows[:3])
    return models.Check(name, not rows, f'{len(rows)} {examples}'.strip())


def _false_not_run(row: models.SentWork, runs: dict[str, int]) -> bool:
    is_reported = isinstance(row.outcome, callers.NotRun)
    return is_reported and runs.get(row.work.name, 0) > 0


def _false_ran(row: models.SentWork, runs: dict[str, int]) -> bool:
    is_reported = isinstance(row.outcome, callers.Ran)
    return is_reported and runs.get(row.work.name, 0) == 0
