"""Break what must hold, and see that the demonstration says so."""

import types

import pytest

from zinnialead_lab.demo import checks
from zinnialead_lab.demo import models
from zinnialead_standins import caller as callers
from zinnialead_standins import upstream as upstreams

RAN = callers.Ran(200, 1.0, b'w-1 u-1')
NOT_RUN = callers.NotRun('queue-full', 1.0)
RUN = upstreams.RunRow('w-1', 'k', 'u-1', 0.0)


def broken(answer, runs, most=0):
    work = callers.Work('w-1', 'intake', 'urgent', keyed=True)
    ledger = upstreams.Ledger({'w-1': runs} if runs else {})
    made = upstreams.new_upstream('u-1', upstreams.WorkProfile(1, 0.0), ledger)
    made.peak_in_flight = most
    demo = types.SimpleNamespace(
        done=[models.WorkDone(work, 'calm', answer)],
        ledger=ledger,
        upstreams={'u-1': made},
    )
    return [check.name for check in checks.after(demo) if not check.holds]


@pytest.mark.parametrize(
    ('answer', 'runs', 'most', 'names'),
    [
        (RAN, [RUN], 1, []),
        (NOT_RUN, [], 1, []),
        (RAN, [RUN, RUN], 1, ['non-idempotent work ran twice']),
        (NOT_RUN, [RUN], 1, ['"not run" said of work that ran']),
        (RAN, [], 1, ['"ran" said of work that did not']),
        (callers.Crossed(b'w-2', 1.0), [], 1, ['answers crossed or in part']),
        (RAN, [RUN], 2, ['upstreams above their slots']),
    ],
)
def test_each_broken_promise_is_named(answer, runs, most, names):
    assert broken(answer, runs, most) == names
