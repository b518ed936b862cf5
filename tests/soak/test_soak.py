"""Play short seeded runs, also of the seeds that failed once."""

import pytest

from soak import run

# Long enough for some faults, the time to recover and the last check.
SECONDS = 40.0
SEEDS = {
    # A program ended by SIGHUP, as it had no handler yet.
    1: 'reload during a start',
    # A request late in a short grace was cut at work.
    2: 'stop with a short grace',
}


@pytest.mark.parametrize('seed', SEEDS)
async def test_no_promise_is_broken(seed):
    tables = await run.play(seed, SECONDS)
    assert len(tables.requests) > 500
    assert [x.promise for x in tables.violations] == [], tables.violations
