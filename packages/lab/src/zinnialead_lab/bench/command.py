"""Run the bench as a command."""

import pathlib

from zinnialead_lab.bench import coordinator
from zinnialead_lab.bench import report
from zinnialead_lab import plots


def main(
    seed: int = 1,
    short: bool = False,
    out_dir: str | pathlib.Path = 'out/bench',
) -> int:
    """Run the bench, write its files and return the exit code."""
    folder = pathlib.Path(out_dir)
    folder.mkdir(parents=True, exist_ok=True)
    rows = coordinator.run(seed, short)
    report.table(rows)
    report.lines(rows, folder / f'bench-{seed}.jsonl')
    plots.bench(rows, folder)
    broken = [row for row in rows if not row.holds]
    print(f'{len(rows)} measures, {len(broken)} out of bounds')
    return 1 if broken else 0
