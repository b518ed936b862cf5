"""Make the seeded arrivals that every way of the study sees."""

import random
import typing

ENTRIES = 3
UPSTREAMS = 2
SLOTS_EACH = 3
SLOTS = UPSTREAMS * SLOTS_EACH
SERVICE_MS = 100.0


class Arrival(typing.NamedTuple):
    """Hold when and where a request arrives and how long it takes."""

    at_ms: float
    entry: int
    service_ms: float


def make(load: float, count: int, seed: int) -> list[Arrival]:
    """Return Poisson arrivals at random entries."""
    source = random.Random(seed)
    rate_per_ms = load * SLOTS / SERVICE_MS
    now_ms = 1_000.0
    made = []
    for _ in range(count):
        now_ms += source.expovariate(rate_per_ms)
        service_ms = source.expovariate(1.0 / SERVICE_MS)
        entry = source.randrange(ENTRIES)
        made.append(Arrival(now_ms, entry, service_ms))
    return made
