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
    """Measure, print and write; return 1 if a budget is exceeded."""
    out_folder = pathlib.Path(out_dir)
    out_folder.mkdir(parents=True, exist_ok=True)
    slopes = list(coordinator.slopes(seed, short))
    event_rows = list(coordinator.event_rows(seed, short))
    report.print_tables(slopes, event_rows)
    report.write_lines(slopes, event_rows, out_folder / 'capacity.jsonl')
    plots.slopes(report.plot_series(slopes), out_folder)
    within = [row.within_budget for row in coordinator.checks(slopes)]
    return 0 if all(within) else 1
