"""Measure the bad day: restarts, a healed partition, a slow store."""

from collections import abc

from zinnialead_core import ids
from zinnialead_lab.capacity import const
from zinnialead_lab.capacity import models
from zinnialead_lab.capacity import nodes
from zinnialead_lab.capacity import states
from zinnialead_lab import fleet
from zinnialead_lab.fleet import meters


def measure(
    count: int, outage_ms: float, seed: int
) -> abc.Iterator[models.Finding]:
    """Yield what each event of the bad day costs a fleet of ``count``."""
    yield from _restarts(count, seed, 'a domain restarts', _domain)
    yield from _restarts(count, seed, 'one VM is replaced', _one)
    yield from _heal(count, outage_ms, seed)
    yield from _all_restart(count, seed)


def _domain(made: fleet.Fleet) -> list[ids.EntryId]:
    first = next(iter(made.state.domains))
    return [
        entry for entry, row in made.entries.items() if row.domain == first
    ]


def _one(made: fleet.Fleet) -> list[ids.EntryId]:
    return [next(reversed(made.entries))]


def _settled(count: int, seed: int) -> fleet.Fleet:
    made = states.settled_fleet(count, const.SITES, seed)
    made.meter = states.new_meter()
    return made


def _restarts(
    count: int,
    seed: int,
    event: str,
    choose: abc.Callable[[fleet.Fleet], list[ids.EntryId]],
) -> abc.Iterator[models.Finding]:
    made = _settled(count, seed)
    started_ms = made.now_ms
    chosen = choose(made)
    for entry in chosen:
        fleet.inject(made, fleet.Restart(entry))
    fleet.run_until(made, started_ms + const.RECOVERY_MS)
    yield from _found(made, event, started_ms, made.state.number)
    yield _join_bytes(made, event, chosen[0], started_ms)


def _heal(
    count: int, outage_ms: float, seed: int
) -> abc.Iterator[models.Finding]:
    made = _settled(count, seed)
    made.meter = None
    region = list(made.state.domains.values())[-1].region
    part = frozenset(
        name
        for name, row in made.state.domains.items()
        if row.region == region
    )
    fleet.inject(made, fleet.Partition((part,)))
    fleet.run_until(made, made.now_ms + const.SETTLE_MS)
    filed = states.state(const.SITES, made.state.number + 1)
    fleet.inject(made, fleet.FileTicket(filed))
    fleet.run_until(made, made.now_ms + outage_ms)
    made.meter = states.new_meter()
    made.counters.clear()
    healed_ms = made.now_ms
    fleet.inject(made, fleet.Partition(()))
    fleet.run_until(made, healed_ms + const.RECOVERY_MS)
    event = f'a region heals after {outage_ms / const.MS_PER_S:.0f} s'
    yield from _found(made, event, healed_ms, filed.number)


def _all_restart(count: int, seed: int) -> abc.Iterator[models.Finding]:
    made = _settled(count, seed)
    fleet.inject(made, fleet.SetStore(slow_ms=const.STORE_SLOW_MS))
    started_ms = made.now_ms
    for entry in list(made.entries):
        fleet.inject(made, fleet.Restart(entry))
    fleet.run_until(made, started_ms + const.RECOVERY_MS)
    event = 'every entry restarts, the store slow'
    yield from _found(made, event, started_ms, made.state.number)


def _join_bytes(
    made: fleet.Fleet, event: str, entry: ids.EntryId, from_ms: float
) -> models.Finding:
    assert made.meter is not None
    first = int(from_ms / const.MS_PER_S)
    seconds = range(first, first + const.JOIN_SECONDS)
    received = made.meter.received_bytes
    size = sum(received[entry, second] for second in seconds)
    name = f'bytes received in the first {const.JOIN_SECONDS} s'
    return models.Finding(event, name, 'B', float(size))


def _found(
    made: fleet.Fleet, event: str, from_ms: float, number: int
) -> abc.Iterator[models.Finding]:
    meter = made.meter
    assert meter is not None
    ready_ms = nodes.spread_ms(_since(made, number, from_ms), number)
    ready_s = ready_ms / const.MS_PER_S
    yield models.Finding(event, 'state in force everywhere', 's', ready_s)
    most = max(meter.received_bytes.values(), default=0)
    name = 'most bytes received by a node in a second'
    yield models.Finding(event, name, 'B/s', float(most))
    yield models.Finding(event, 'mean bytes a node', 'B/s', _mean(made, meter))
    calls = sum(
        value
        for kind, value in made.counters.items()
        if kind.startswith('store.')
    )
    seconds = const.RECOVERY_MS / const.MS_PER_S
    yield models.Finding(event, 'store calls', '1/s', calls / seconds)


def _mean(made: fleet.Fleet, meter: meters.Meter) -> float:
    seconds = const.RECOVERY_MS / const.MS_PER_S
    return sum(meter.bytes.values()) / (len(made.entries) * seconds)


def _since(made: fleet.Fleet, number: int, from_ms: float) -> fleet.Fleet:
    made.filed_ms[number] = from_ms
    return made
