"""Run the soak from the command line."""

import functools
import pathlib

import trio
import typer

from soak import run


def main(
    seed: int = 1,
    seconds: float = 40.0,
    folder: pathlib.Path | None = None,
) -> None:
    """Run the soak once; exit with 1 if a check failed."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    tables = trio.run(functools.partial(run.run_seed, seed, seconds, folder))
    print(f'seed {seed}, {seconds:.0f} s')
    for line in run.summary(tables):
        print(line)
    raise typer.Exit(1 if tables.violations else 0)


typer.run(main)
