"""Measure what the control plane costs a node, by the number of nodes."""

from collections import abc

from zinnialead_lab.capacity import const
from zinnialead_lab.capacity import fixtures
from zinnialead_lab.capacity import models
from zinnialead_lab import fleet
from zinnialead_lab.fleet import meters

# The role that each class of message or input belongs to.
ROLES = {
    'Probe': 'membership',
    'ProbeAnswer': 'membership',
    'ProbeFor': 'membership',
    'ProbeRelayed': 'membership',
    'News': 'membership',
    'MembersAsk': 'membership',
    'MembersPage': 'membership',
    'PeerSeen': 'membership',
    'StateAsk': 'spread of tickets',
    'StateData': 'spread of tickets',
    'StateDelta': 'spread of tickets',
    'StateNumber': 'spread of tickets',
    'StateRead': 'spread of tickets',
    'LoadReport': 'load exchange',
    'UpstreamReport': 'load exchange',
    'StoreDone': 'store client',
    'SlotHeldReport': 'ownership of slots',
    'ClaimAsk': 'ownership of keys',
    'ClaimAnswer': 'ownership of keys',
    'ClaimEnd': 'ownership of keys',
    'ClaimEndAck': 'ownership of keys',
    'SlotAsk': 'admission and dispatch',
    'SlotAnswer': 'admission and dispatch',
    'SlotWaiting': 'admission and dispatch',
    'SlotReturn': 'admission and dispatch',
}

REQUEST_INPUTS = frozenset({'RequestArrived', 'DispatchDone'})
# Timers start rounds of both probes and load reports: no role above fits.
TIMER_ROLE = 'rounds by timer'


def measure(
    counts: abc.Iterable[int], seed: int
) -> abc.Iterator[models.Point]:
    """Yield messages, bytes and time per node and second, by role."""
    for count in counts:
        simulation = fixtures.settled_fleet(count, const.DESIGN_SITES, seed)
        yield from _steady_points(simulation, count)
        yield from _ticket_points(simulation, count)


def _steady_points(
    simulation: fleet.Fleet, count: int
) -> abc.Iterator[models.Point]:
    simulation.meter = meter = fixtures.new_meter()
    fleet.run_until(simulation, simulation.now_ms + const.MEASURE_WINDOW_MS)
    node_seconds = count * const.MEASURE_WINDOW_MS / const.MS_PER_S
    yield from _role_points(meter, count, node_seconds)
    calls = sum(
        value
        for name, value in simulation.counters.items()
        if name.startswith('store.')
    )
    per_s = calls * const.MS_PER_S / const.MEASURE_WINDOW_MS
    yield models.Point('store client', 'calls', '1/s', count, per_s)
    yield from _busiest_points(meter, count)


def _ticket_points(
    simulation: fleet.Fleet, count: int
) -> abc.Iterator[models.Point]:
    simulation.meter = meter = fixtures.new_meter()
    first = simulation.state.number + 1
    for number in range(first, first + const.TICKETS_MEASURED):
        new_state = fixtures.state(const.DESIGN_SITES, number)
        fleet.inject(simulation, fleet.FileTicket(new_state))
        fleet.run_until(simulation, simulation.now_ms + const.TICKET_PERIOD_MS)
    fleet.run_until(simulation, simulation.now_ms + const.SETTLE_MS)
    ticket_kinds = [
        kind for kind, role in ROLES.items() if role == 'spread of tickets'
    ]
    sent_bytes = sum(meter.bytes[kind] for kind in ticket_kinds)
    mean = sent_bytes / (const.TICKETS_MEASURED * count)
    role = 'spread of tickets'
    yield models.Point(role, 'bytes a ticket and node', 'B', count, mean)
    longest_ms = max(
        ticket_spread_ms(simulation, number)
        for number in range(first, first + const.TICKETS_MEASURED)
    )
    longest_s = longest_ms / const.MS_PER_S
    yield models.Point(role, 'in force everywhere', 's', count, longest_s)


def ticket_spread_ms(simulation: fleet.Fleet, number: int) -> float:
    """Return how long after filing all running entries adopted a ticket."""
    filed_ms = simulation.filed_ms[number]
    spread_ms = 0.0
    for row in simulation.entries.values():
        if row.process_state is not fleet.ProcessState.RUNNING:
            continue
        adoption_times_ms = [
            adopted_ms
            for (ref, adopted), adopted_ms in simulation.adopted_ms.items()
            if ref == row.ref and adopted >= number
        ]
        first_ms = min(adoption_times_ms, default=float('inf'))
        spread_ms = max(spread_ms, first_ms - filed_ms)
    return spread_ms


def _role_points(
    meter: meters.Meter, count: int, node_seconds: float
) -> abc.Iterator[models.Point]:
    roles = (*sorted(set(ROLES.values())), TIMER_ROLE)
    for role in roles:
        sent = sent_bytes = spent_s = 0.0
        for kind in set(meter.tick_s) | set(meter.messages):
            if ROLES.get(kind.removesuffix(' codec'), TIMER_ROLE) == role:
                sent += meter.messages[kind]
                sent_bytes += meter.bytes[kind]
                spent_s += meter.tick_s[kind]
        for quantity, unit, value in (
            ('messages', '1/s', sent),
            ('bytes sent', 'B/s', sent_bytes),
            ('processor', 'ms/s', spent_s * const.MS_PER_S),
        ):
            mean = value / node_seconds
            yield models.Point(role, quantity, unit, count, mean, True)
    total_ms = sum(meter.tick_s.values()) * const.MS_PER_S
    mean_ms = total_ms / node_seconds
    yield models.Point('control', 'processor', 'ms/s', count, mean_ms, True)
    mean = sum(meter.bytes.values()) / node_seconds
    yield models.Point('control', 'bytes sent', 'B/s', count, mean, True)


def _busiest_points(
    meter: meters.Meter, count: int
) -> abc.Iterator[models.Point]:
    received = max(meter.received_bytes.values(), default=0)
    name = 'most bytes received in a second'
    yield models.Point('busiest node', name, 'B/s', count, float(received))
    seconds = const.MEASURE_WINDOW_MS / const.MS_PER_S
    sent = max(meter.sent_bytes.values(), default=0) / seconds
    yield models.Point('busiest node', 'bytes sent', 'B/s', count, sent)
    spent_s = max(meter.entry_s.values(), default=0.0)
    spent_ms = spent_s * const.MS_PER_S / seconds
    yield models.Point('busiest node', 'processor', 'ms/s', count, spent_ms)
