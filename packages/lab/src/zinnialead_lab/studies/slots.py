"""Compare the mean wait for a slot in one domain under three ways.

Every way sees the same Poisson arrivals with the same exponential
service times: a fixed share of the slots for each entry, the less busy
of two upstreams by probed counts, and the owner's queue of the core.
"""

from collections import abc
import heapq
import math
import random
import statistics
import typing

import typer

from zinnialead_lab.studies import arrivals
from zinnialead_lab.studies import pooled

LOADS = (0.7, 0.8, 0.9, 0.95)
BOUND_LOAD = 0.9
BOUND = 1.5


class Result(typing.NamedTuple):
    """Hold the mean waits at one load, in service times.

    ``one_queue`` is what a single first-come queue without any delay
    makes of the same arrivals.
    """

    load: float
    erlang: float
    one_queue: float
    fixed_shares: float
    two_choices: float
    owner: float


def study(load: float, count: int, seed: int) -> Result:
    """Return the mean wait of each way at one load."""
    found = arrivals.make(load, count, seed)
    return Result(
        load=load,
        erlang=erlang_wait(load),
        one_queue=_mean(queue_waits(found, arrivals.SLOTS)),
        fixed_shares=_mean(fixed_shares(found)),
        two_choices=_mean(two_choices(found, seed)),
        owner=_mean(pooled.waits_ms(pooled.run(found, queue_max=count).ends)),
    )


def main(count: int = 20_000, seed: int = 1) -> None:
    """Print each way's mean wait as a ratio to Erlang's value."""
    typer.echo('load  erlang  one queue  fixed shares  two choices  owner')
    for load in LOADS:
        row = study(load, count, seed)
        ratios = [wait / row.erlang for wait in row[2:]]
        one, fixed, two, owner = ratios
        typer.echo(
            f'{load:4.2f}  {row.erlang:6.3f}  {one:9.2f}  {fixed:12.2f}'
            f'  {two:11.2f}  {owner:5.2f}'
        )
        if load == BOUND_LOAD and owner > BOUND:
            raise typer.Exit(1)


def erlang_wait(load: float, servers: int = arrivals.SLOTS) -> float:
    """Return the mean wait of M/M/c in service times.

    >>> round(erlang_wait(0.9, 6), 3)
    1.234
    """
    offered = load * servers
    terms = [offered**k / math.factorial(k) for k in range(servers)]
    last = offered**servers / math.factorial(servers) / (1.0 - load)
    return last / (sum(terms) + last) / (servers * (1.0 - load))


def queue_waits(
    found: abc.Iterable[arrivals.Arrival], servers: int
) -> list[float]:
    """Return the waits in one first-come queue before some slots."""
    free_ms = [0.0] * servers
    waits = []
    for item in found:
        start_ms = max(item.at_ms, heapq.heappop(free_ms))
        heapq.heappush(free_ms, start_ms + item.service_ms)
        waits.append(start_ms - item.at_ms)
    return waits


def fixed_shares(found: abc.Sequence[arrivals.Arrival]) -> list[float]:
    """Return the waits where each entry has its own slots."""
    waits = []
    for entry in range(arrivals.ENTRIES):
        own = [item for item in found if item.entry == entry]
        waits += queue_waits(own, arrivals.SLOTS // arrivals.ENTRIES)
    return waits


def two_choices(
    found: abc.Iterable[arrivals.Arrival], seed: int
) -> list[float]:
    """Return the waits at the less busy of two probed upstreams."""
    source = random.Random(seed)
    free_ms = [[0.0] * arrivals.SLOTS_EACH for _ in range(arrivals.UPSTREAMS)]
    ends_ms: list[list[float]] = [[] for _ in range(arrivals.UPSTREAMS)]
    waits = []
    for item in found:
        for ends in ends_ms:
            while ends and ends[0] <= item.at_ms:
                heapq.heappop(ends)
        pair = source.sample(range(arrivals.UPSTREAMS), 2)
        chosen = min(pair, key=lambda number: len(ends_ms[number]))
        start_ms = max(item.at_ms, heapq.heappop(free_ms[chosen]))
        end_ms = start_ms + item.service_ms
        heapq.heappush(free_ms[chosen], end_ms)
        heapq.heappush(ends_ms[chosen], end_ms)
        waits.append(start_ms - item.at_ms)
    return waits


def _mean(waits_ms: abc.Iterable[float]) -> float:
    return statistics.fmean(waits_ms) / arrivals.SERVICE_MS


if __name__ == '__main__':
    typer.run(main)
