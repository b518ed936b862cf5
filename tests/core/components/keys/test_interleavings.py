"""Interleave copies, losses and restarts, and count what ran."""

import hypothesis
from hypothesis import strategies as st

from core.components.keys import bag as bags

STEPS = st.lists(
    st.tuples(st.sampled_from(bags.OPERATIONS), st.integers(0, 63)),
    min_size=20,
    max_size=120,
)


@hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, database=None
)
@hypothesis.given(STEPS)
def test_no_key_runs_twice_and_no_not_run_is_false(steps):
    bag = bags.new_bag()
    for operation, pick in steps:
        bags.step(bag, operation, pick)


def test_long_runs_keep_the_promise():
    for seed in range(40):
        bags.soak(seed, 600)
