"""Fuzz a fleet for a few steps with fixed seeds."""

import pytest

from zinnialead_lab import fuzz


@pytest.mark.parametrize('seed', [1, 2])
def test_no_promise_breaks_in_a_short_run(seed):
    fuzz.run(seed, steps=20, examples=4)
