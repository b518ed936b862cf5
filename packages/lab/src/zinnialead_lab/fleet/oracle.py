"""Check the recorded runs of a fleet against the promises."""

import collections
import typing

from zinnialead_core import verdict
from zinnialead_lab.fleet import models


class Violations(typing.NamedTuple):
    """Count the violations of each promise.

    ``mismatched_answers`` are answers that belong to other work.
    """

    double_runs: int
    false_not_run: int
    mismatched_answers: int
    reverted_tickets: int


def check(fleet: models.Fleet) -> Violations:
    """Return the number of violations of each promise."""
    ran = collections.Counter(
        row.work_id for row in fleet.runs if fleet.works[row.work_id].keyed
    )
    false_not_run = sum(
        row.verdict is verdict.Verdict.NOT_RUN and ran[row.work.work_id] > 0
        for row in fleet.completions
    )
    return Violations(
        double_runs=sum(count > 1 for count in ran.values()),
        false_not_run=false_not_run,
        mismatched_answers=sum(
            not row.is_own_answer for row in fleet.completions
        ),
        reverted_tickets=fleet.counters['tickets.reverted'],
    )
