"""Measure what control costs a node, in steps of the number of nodes."""

from collections import abc

from zinnialead_lab.capacity import const
from zinnialead_lab.capacity import models
from zinnialead_lab.capacity import states
from zinnialead_lab import fleet
from zinnialead_lab.fleet import meters

# The role that each kind of message or input belongs to.
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
# Timers start the rounds of probes and of load reports alike.
OTHER = 'rounds by timer'


def measure(counts: abc.Iterable[int], seed: int) -> abc.Iterator[models.Step]:
    """Yield messages, bytes and time a node and second, by role."""
    for count in counts:
        made = states.settled_fleet(count, const.SITES, seed)
        yield from _quiet(made, count)
        yield from _tickets(made, count)


def _quiet(made: fleet.Fleet, count: int) -> abc.Iterator[models.Step]:
    made.meter = meter = states.new_meter()
    fleet.run_until(made, made.now_ms + const.MEASURED_MS)
    node_seconds = count * const.MEASURED_MS / const.MS_PER_S
    yield from _steps(meter, count, node_seconds)
    calls = sum(
        value
        for name, value in made.counters.items()
        if name.startswith('store.')
    )
    per_s = calls * const.MS_PER_S / const.MEASURED_MS
    yield models.Step('store client', 'calls', '1/s', count, per_s)
    yield from _busiest(meter, count)


def _tickets(made: fleet.Fleet, count: int) -> abc.Iterator[models.Step]:
    made.meter = meter = states.new_meter()
    first = made.state.number + 1
    for number in range(first, first + const.TICKETS_MEASURED):
        filed = states.state(const.SITES, number)
        fleet.inject(made, fleet.FileTicket(filed))
        fleet.run_until(made, made.now_ms + const.TICKET_PERIOD_MS)
    fleet.run_until(made, made.now_ms + const.SETTLE_MS)
    spread = [
        kind for kind, role in ROLES.items() if role == 'spread of tickets'
    ]
    size = sum(meter.bytes[kind] for kind in spread)
    each = size / (const.TICKETS_MEASURED * count)
    role = 'spread of tickets'
    yield models.Step(role, 'bytes a ticket and node', 'B', count, each)
    worst_ms = max(
        spread_ms(made, number)
        for number in range(first, first + const.TICKETS_MEASURED)
    )
    worst_s = worst_ms / const.MS_PER_S
    yield models.Step(role, 'in force everywhere', 's', count, worst_s)


def spread_ms(made: fleet.Fleet, number: int) -> float:
    """Return when the last running entry had a ticket in force."""
    filed_ms = made.filed_ms[number]
    taken_ms = 0.0
    for row in made.entries.values():
        if row.process_state is not fleet.ProcessState.RUNNING:
            continue
        times_ms = [
            at_ms
            for (ref, adopted), at_ms in made.adopted_ms.items()
            if ref == row.ref and adopted >= number
        ]
        first_ms = min(times_ms, default=float('inf'))
        taken_ms = max(taken_ms, first_ms - filed_ms)
    return taken_ms


def _steps(
    meter: meters.Meter, count: int, node_seconds: float
) -> abc.Iterator[models.Step]:
    roles = (*sorted(set(ROLES.values())), OTHER)
    for role in roles:
        sent = size = spent_s = 0.0
        for kind in set(meter.tick_s) | set(meter.messages):
            if ROLES.get(kind.removesuffix(' codec'), OTHER) == role:
                sent += meter.messages[kind]
                size += meter.bytes[kind]
                spent_s += meter.tick_s[kind]
        for quantity, unit, value in (
            ('messages', '1/s', sent),
            ('bytes sent', 'B/s', size),
            ('processor', 'ms/s', spent_s * const.MS_PER_S),
        ):
            each = value / node_seconds
            yield models.Step(role, quantity, unit, count, each, True)
    total_ms = sum(meter.tick_s.values()) * const.MS_PER_S
    each_ms = total_ms / node_seconds
    yield models.Step('control', 'processor', 'ms/s', count, each_ms, True)
    each = sum(meter.bytes.values()) / node_seconds
    yield models.Step('control', 'bytes sent', 'B/s', count, each, True)


def _busiest(meter: meters.Meter, count: int) -> abc.Iterator[models.Step]:
    received = max(meter.received_bytes.values(), default=0)
    name = 'most bytes received in a second'
    yield models.Step('busiest node', name, 'B/s', count, float(received))
    seconds = const.MEASURED_MS / const.MS_PER_S
    sent = max(meter.sent_bytes.values(), default=0) / seconds
    yield models.Step('busiest node', 'bytes sent', 'B/s', count, sent)
    spent_s = max(meter.entry_s.values(), default=0.0)
    spent_ms = spent_s * const.MS_PER_S / seconds
    yield models.Step('busiest node', 'processor', 'ms/s', count, spent_ms)
