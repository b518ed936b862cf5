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
    out_folder = pathlib.Path(out_dir)
    out_folder.mkdir(parents=True, exist_ok=True)
    rows = coordinator.run(seed, short)
    report.print_table(rows)
    report.write_lines(rows, out_folder / f'bench-{seed}.jsonl')
    plots.bench(rows, out_folder)
    failed = [row for row in rows if not row.holds]
    print(f'{len(rows)} measures, {len(failed)} out of bounds')
    return 1 if failed else 0
