"""Generate the seeded arrivals of the studies."""

import heapq
import itertools
import random
import typing

from zinnialead_core import ids

ENTRIES = 3
UPSTREAMS = 2
SLOTS_PER_UPSTREAM = 3
SLOTS = UPSTREAMS * SLOTS_PER_UPSTREAM
SERVICE_MS = 100.0
START_MS = 1_000.0
URGENT = ids.RankId('urgent')
NORMAL = ids.RankId('normal')
NIGHT = ids.RankId('night')
# Longer than any run.
NO_DEADLINE_MS = 10_000_000.0


class Arrival(typing.NamedTuple):
    """Hold when and where a request arrives and how long it takes."""

    at_ms: float
    entry: int
    service_ms: float
    rank: ids.RankId = URGENT
    deadline_in_ms: float = NO_DEADLINE_MS


class Stream(typing.NamedTuple):
    """Describe the Poisson arrivals of one rank in a time span.

    ``load`` is a share of the capacity of all slots.
    """

    rank: ids.RankId
    load: float
    deadline_in_ms: float
    from_ms: float
    until_ms: float


def poisson(load: float, count: int, seed: int) -> list[Arrival]:
    """Return Poisson arrivals at random entries."""
    stream = Stream(URGENT, load, NO_DEADLINE_MS, START_MS, float('inf'))
    return list(itertools.islice(_arrivals(stream, seed), count))


def merge(streams: typing.Iterable[Stream], seed: int) -> list[Arrival]:
    """Return the arrivals of several streams in time order."""
    generated = [_arrivals(row, seed + n) for n, row in enumerate(streams)]
    return list(heapq.merge(*generated))


def _arrivals(stream: Stream, seed: int) -> typing.Iterator[Arrival]:
    rng = random.Random(seed)
    rate_per_ms = stream.load * SLOTS / SERVICE_MS
    now_ms = stream.from_ms
    while True:
        now_ms += rng.expovariate(rate_per_ms)
        if now_ms >= stream.until_ms:
            return
        yield Arrival(
            now_ms,
            rng.randrange(ENTRIES),
            rng.expovariate(1.0 / SERVICE_MS),
            stream.rank,
            stream.deadline_in_ms,
        )
