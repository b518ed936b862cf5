"""Measure the benefit of ejecting a failing upstream.

One of a domain's two upstreams refuses connections, or accepts requests
and never answers, at a load that the other one can serve alone.
"""

from collections import abc
import math
import typing
from unittest import mock

import typer

from zinnialead_core.components.upstreams import const
from zinnialead_core import ids
from zinnialead_lab.studies import arrivals
from zinnialead_lab.studies import simulation

LOAD = 0.35
DEADLINE_MS = 2_000.0
UNTIL_MS = 61_000.0
FAILING = ids.UpstreamId('upstream-1')
CONDITIONS = (
    simulation.Well(),
    simulation.Refusing(FAILING),
    simulation.Silent(FAILING),
)


class Result(typing.NamedTuple):
    """Hold the share of served work and the sends per accepted request."""

    served_share: float
    sends_per_request: float


def study(condition: simulation.Condition, seed: int) -> Result:
    """Return the result of a run under one upstream condition."""
    stream = arrivals.Stream(
        arrivals.URGENT, LOAD, DEADLINE_MS, arrivals.START_MS, UNTIL_MS
    )
    finished = simulation.run(
        arrivals.merge([stream], seed), condition=condition
    )
    accepted = sum(result.sent_ms is not None for result in finished.results)
    served = sum(result.answered_ms is not None for result in finished.results)
    return Result(served / len(finished.results), finished.sends / accepted)


def main(seed: int = 1) -> None:
    """Print the share served with and without ejection."""
    typer.echo('condition  left out: served  sends  never: served  sends')
    for condition, figures in _compare(seed):
        typer.echo(f'{condition:9}  {figures}')


def _compare(seed: int) -> abc.Iterator[tuple[str, str]]:
    for condition in CONDITIONS:
        with_ejection = study(condition, seed)
        with mock.patch.object(const, 'FAILURES_MAX', math.inf):
            without_ejection = study(condition, seed)
        numbers = (*with_ejection, *without_ejection)
        line = '  '.join(f'{number:.4f}' for number in numbers)
        yield type(condition).__name__, line


if __name__ == '__main__':
    typer.run(main)
