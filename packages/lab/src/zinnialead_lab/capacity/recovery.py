"""Measure recovery from restarts, a healed partition and a slow store."""

from collections import abc

from zinnialead_core import ids
from zinnialead_lab.capacity import const
from zinnialead_lab.capacity import fixtures
from zinnialead_lab.capacity import models
from zinnialead_lab.capacity import nodes
from zinnialead_lab import fleet
from zinnialead_lab.fleet import meters


def measure(
    count: int, partition_ms: float, seed: int
) -> abc.Iterator[models.EventRow]:
    """Yield what recovery from each event costs a fleet of this size."""
    yield from _restarts(count, seed, 'a domain restarts', _first_domain)
    yield from _restarts(count, seed, 'one VM is replaced', _last_entry)
    yield from _healed_partition(count, partition_ms, seed)
    yield from _full_restart(count, seed)


def _first_domain(simulation: fleet.Fleet) -> list[ids.EntryId]:
    first_domain = next(iter(simulation.state.domains))
    return [
        entry
        for entry, row in simulation.entries.items()
        if row.domain == first_domain
    ]


def _last_entry(simulation: fleet.Fleet) -> list[ids.EntryId]:
    return [next(reversed(simulation.entries))]


def _metered_fleet(count: int, seed: int) -> fleet.Fleet:
    simulation = fixtures.settled_fleet(count, const.DESIGN_SITES, seed)
    simulation.meter = fixtures.new_meter()
    return simulation


def _restarts(
    count: int,
    seed: int,
    event: str,
    select: abc.Callable[[fleet.Fleet], list[ids.EntryId]],
) -> abc.Iterator[models.EventRow]:
    simulation = _metered_fleet(count, seed)
    started_ms = simulation.now_ms
    restarted = select(simulation)
    for entry in restarted:
        fleet.inject(simulation, fleet.Restart(entry))
    fleet.run_until(simulation, started_ms + const.RECOVERY_WINDOW_MS)
    yield from _recovery_rows(
        simulation, event, started_ms, simulation.state.number
    )
    yield _join_bytes(simulation, event, restarted[0], started_ms)


def _healed_partition(
    count: int, partition_ms: float, seed: int
) -> abc.Iterator[models.EventRow]:
    simulation = _metered_fleet(count, seed)
    simulation.meter = None
    region = list(simulation.state.domains.values())[-1].region
    isolated = frozenset(
        name
        for name, row in simulation.state.domains.items()
        if row.region == region
    )
    fleet.inject(simulation, fleet.Partition((isolated,)))
    fleet.run_until(simulation, simulation.now_ms + const.SETTLE_MS)
    new_state = fixtures.state(const.DESIGN_SITES, simulation.state.number + 1)
    fleet.inject(simulation, fleet.FileTicket(new_state))
    fleet.run_until(simulation, simulation.now_ms + partition_ms)
    simulation.meter = fixtures.new_meter()
    simulation.counters.clear()
    healed_ms = simulation.now_ms
    fleet.inject(simulation, fleet.Partition(()))
    fleet.run_until(simulation, healed_ms + const.RECOVERY_WINDOW_MS)
    event = f'a region heals after {partition_ms / const.MS_PER_S:.0f} s'
    yield from _recovery_rows(simulation, event, healed_ms, new_state.number)


def _full_restart(count: int, seed: int) -> abc.Iterator[models.EventRow]:
    simulation = _metered_fleet(count, seed)
    fleet.inject(simulation, fleet.SetStore(slow_ms=const.STORE_DELAY_MS))
    started_ms = simulation.now_ms
    for entry in list(simulation.entries):
        fleet.inject(simulation, fleet.Restart(entry))
    fleet.run_until(simulation, started_ms + const.RECOVERY_WINDOW_MS)
    event = 'every entry restarts, the store slow'
    yield from _recovery_rows(
        simulation, event, started_ms, simulation.state.number
    )


def _join_bytes(
    simulation: fleet.Fleet, event: str, entry: ids.EntryId, started_ms: float
) -> models.EventRow:
    assert simulation.meter is not None
    first_s = int(started_ms / const.MS_PER_S)
    seconds = range(first_s, first_s + const.JOIN_WINDOW_S)
    received = simulation.meter.received_bytes
    size = sum(received[entry, second] for second in seconds)
    name = f'bytes received in the first {const.JOIN_WINDOW_S} s'
    return models.EventRow(event, name, 'B', float(size))


def _recovery_rows(
    simulation: fleet.Fleet, event: str, started_ms: float, number: int
) -> abc.Iterator[models.EventRow]:
    meter = simulation.meter
    assert meter is not None
    ready_ms = nodes.ticket_spread_ms(
        _set_filing_time(simulation, number, started_ms), number
    )
    ready_s = ready_ms / const.MS_PER_S
    yield models.EventRow(event, 'state in force everywhere', 's', ready_s)
    most = max(meter.received_bytes.values(), default=0)
    name = 'most bytes received by a node in a second'
    yield models.EventRow(event, name, 'B/s', float(most))
    yield models.EventRow(
        event, 'mean bytes a node', 'B/s', _mean_bytes(simulation, meter)
    )
    calls = sum(
        value
        for kind, value in simulation.counters.items()
        if kind.startswith('store.')
    )
    seconds = const.RECOVERY_WINDOW_MS / const.MS_PER_S
    yield models.EventRow(event, 'store calls', '1/s', calls / seconds)


def _mean_bytes(simulation: fleet.Fleet, meter: meters.Meter) -> float:
    seconds = const.RECOVERY_WINDOW_MS / const.MS_PER_S
    return sum(meter.bytes.values()) / (len(simulation.entries) * seconds)


def _set_filing_time(
    simulation: fleet.Fleet, number: int, started_ms: float
) -> fleet.Fleet:
    simulation.filed_ms[number] = started_ms
    return simulation
