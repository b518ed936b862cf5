"""Print what callers get under each load."""

import sys

from zinnialead_lab.load import coordinator
from zinnialead_lab.load import report
from zinnialead_lab.load import scenarios


def main(scenario: str, seed: int) -> int:
    """Play one scenario, or all; return 2 for an unknown name."""
    names = [scenario] if scenario else list(scenarios.SCENARIOS)
    for name in names:
        new_scenario = scenarios.SCENARIOS.get(name)
        if new_scenario is None:
            known = ', '.join(scenarios.SCENARIOS)
            print(f'no scenario {name!r}; known: {known}', file=sys.stderr)
            return 2
        for line in report.lines(coordinator.play(new_scenario(seed))):
            print(line)
    return 0
