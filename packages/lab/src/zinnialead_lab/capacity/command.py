"""Run the capacity measurement as a command."""

import pathlib

from zinnialead_lab.capacity import coordinator
from zinnialead_lab.capacity import report
from zinnialead_lab import plots


def main(
    seed: int = 1,
    short: bool = False,
    out_dir: str | pathlib.Path = 'out/capacity',
) -> int:
    """Measure, print and write; return 1 where a budget is exceeded."""
    folder = pathlib.Path(out_dir)
    folder.mkdir(parents=True, exist_ok=True)
    slopes = list(coordinator.slopes(seed, short))
    findings = list(coordinator.findings(seed, short))
    report.tables(slopes, findings)
    report.lines(slopes, findings, folder / 'capacity.jsonl')
    plots.slopes(report.series(slopes), folder)
    within = [row.within_budget for row in coordinator.checks(slopes)]
    return 0 if all(within) else 1
