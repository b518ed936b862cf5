"""Check that no interleaving of copies and faults runs work twice."""

import hypothesis
from hypothesis import strategies as st

from core.components.keys import key_network

STEPS = st.lists(
    st.tuples(st.sampled_from(key_network.OPERATIONS), st.integers(0, 63)),
    min_size=20,
    max_size=120,
)


@hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, database=None
)
@hypothesis.given(STEPS)
def test_no_key_runs_twice_and_not_run_is_never_reported_wrongly(steps):
    network = key_network.new_network()
    for operation, choice in steps:
        key_network.run_operation(network, operation, choice)


def test_long_random_runs_keep_the_guarantees():
    for seed in range(40):
        key_network.run_random(seed, 600)
