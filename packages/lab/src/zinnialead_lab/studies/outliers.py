"""Measure what leaving a failing upstream out is worth.

One of a domain's two upstreams refuses connections, or takes requests
and never answers, at a load that the other one can carry.
"""

from collections import abc
import math
import typing
from unittest import mock

import typer

from zinnialead_core.components.upstreams import const
from zinnialead_core import ids
from zinnialead_lab.studies import arrivals
from zinnialead_lab.studies import pooled

LOAD = 0.35
DEADLINE_MS = 2_000.0
UNTIL_MS = 61_000.0
FAILING = ids.UpstreamId('upstream-1')
CONDITIONS = (
    pooled.Well(),
    pooled.Refusing(FAILING),
    pooled.Silent(FAILING),
)


class Result(typing.NamedTuple):
    """Hold what came of the work under one condition."""

    served_share: float
    sends_for_each: float


def study(condition: pooled.Condition, seed: int) -> Result:
    """Return what is served while one upstream fails."""
    stream = arrivals.Stream(
        arrivals.URGENT, LOAD, DEADLINE_MS, arrivals.START_MS, UNTIL_MS
    )
    made = pooled.run(arrivals.mix([stream], seed), condition=condition)
    accepted = sum(end.sent_ms is not None for end in made.ends)
    served = sum(end.answered_ms is not None for end in made.ends)
    return Result(served / len(made.ends), made.sends / accepted)


def main(seed: int = 1) -> None:
    """Print the share served with and without leaving out."""
    typer.echo('condition  left out: served  sends  never: served  sends')
    for condition, kept in _both(seed):
        typer.echo(f'{condition:9}  {kept}')


def _both(seed: int) -> abc.Iterator[tuple[str, str]]:
    for condition in CONDITIONS:
        with_it = study(condition, seed)
        with mock.patch.object(const, 'FAILURES_MAX', math.inf):
            without = study(condition, seed)
        numbers = (*with_it, *without)
        line = '  '.join(f'{number:.4f}' for number in numbers)
        yield type(condition).__name__, line


if __name__ == '__main__':
    typer.run(main)
