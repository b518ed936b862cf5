"""Test that each violated guarantee fails its check by name."""

import types

import pytest

from zinnialead_lab.demo import checks
from zinnialead_lab.demo import models
from zinnialead_standins import caller as callers
from zinnialead_standins import upstream as upstreams

RAN = callers.Ran(200, 1.0, b'w-1 u-1')
NOT_RUN = callers.NotRun('queue-full', 1.0)
RUN = upstreams.RunRow('w-1', 'k', 'u-1', 0.0)


def failed_checks(outcome, runs, peak=0):
    work = callers.Work('w-1', 'intake', 'urgent', keyed=True)
    ledger = upstreams.Ledger({'w-1': runs} if runs else {})
    upstream = upstreams.new_upstream(
        'u-1', upstreams.WorkProfile(1, 0.0), ledger
    )
    upstream.peak_in_flight = peak
    demo = types.SimpleNamespace(
        sent_work=[models.SentWork(work, 'calm', outcome)],
        ledger=ledger,
        upstreams={'u-1': upstream},
    )
    return [check.name for check in checks.check_all(demo) if not check.holds]


@pytest.mark.parametrize(
    ('outcome', 'runs', 'peak', 'names'),
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
def test_each_violated_guarantee_is_named(outcome, runs, peak, names):
    assert failed_checks(outcome, runs, peak) == names
