"""Run the fuzzing with a seed."""

import hypothesis
from hypothesis import stateful

from zinnialead_lab.fuzz import const
from zinnialead_lab.fuzz import machine


def run(seed: int, steps: int, examples: int = const.EXAMPLES) -> None:
    """Run random sequences of rules against the promises.

    Raise AssertionError for the shortest sequence found that breaks one.
    """
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    seeded = hypothesis.seed(seed)(machine.PromiseMachine)
    stateful.run_state_machine_as_test(seeded, settings=settings)


def main(seed: int = 1, steps: int = 60) -> int:
    """Run the fuzzing as a command and return the exit code."""
    try:
        run(seed, steps)
    except AssertionError as violation:
        print(f'seed {seed}: {violation}')
        return 1
    print(
        f'seed {seed}: {const.EXAMPLES} runs of up to {steps} steps,'
        ' no promise broken'
    )
    return 0
