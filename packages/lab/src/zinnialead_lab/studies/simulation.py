"""Simulate the entries of one domain with the arrivals of a study."""

from collections import abc
import dataclasses
import heapq
import math
import random
import typing

import zinnialead_core as core
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_core import world as world_module
from zinnialead_lab.studies import arrivals

# One-way latency.
HOP_MS = 0.5
DOMAIN = ids.DomainId('domain-a')
REGION = ids.RegionId('region')
SERVICE = ids.ServiceId('intake')
QUEUE_MAX = 300
RANKS = (
    tickets.RankRow(arrivals.URGENT, 0, 100.0, 0.0, 500.0),
    tickets.RankRow(arrivals.NORMAL, 1, 10.0, 0.2, 2_000.0),
    tickets.RankRow(arrivals.NIGHT, 2, 1.0, 0.05, 60_000.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Well:
    """Keep every upstream healthy."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shedding:
    """Make the upstreams shed a share of the requests."""

    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusing:
    """Make one upstream refuse every connection."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """Make one upstream accept requests and never answer."""

    upstream: ids.UpstreamId


Condition = Well | Shedding | Refusing | Silent


class ArrivalResult(typing.NamedTuple):
    """Hold the result of one arrival."""

    arrival: arrivals.Arrival
    sent_ms: float | None = None
    answered_ms: float | None = None
    refused: verdict.Reason | None = None


WELL = Well()


class Event(typing.NamedTuple):
    """Hold a scheduled input of an entry; ``order`` breaks ties."""

    due_ms: float
    order: int
    entry: str
    entry_input: inp.Input


class Step(typing.NamedTuple):
    """Hold the next tick: its time, entry and inputs."""

    now_ms: float
    entry: str
    inputs: list[inp.Input]


@dataclasses.dataclass(slots=True)
class Simulation:
    """Hold the entries, the pending events and the results."""

    worlds: dict[str, core.World]
    heap: list[Event]
    results: list[ArrivalResult]
    sends: int
    condition: Condition
    random: random.Random


def run(
    requests: abc.Sequence[arrivals.Arrival],
    queue_max: int = QUEUE_MAX,
    condition: Condition = WELL,
) -> Simulation:
    """Run the simulation until every arrival is answered or refused."""
    names = [f'entry-{number}' for number in range(arrivals.ENTRIES)]
    sim = Simulation(
        worlds={name: _world(name, names, queue_max) for name in names},
        heap=[
            _arrival_event(number, arrival)
            for number, arrival in enumerate(requests)
        ],
        results=[ArrivalResult(arrival) for arrival in requests],
        sends=0,
        condition=condition,
        random=random.Random(1),
    )
    heapq.heapify(sim.heap)
    order = remaining = len(requests)
    while remaining > 0:
        step = _next_step(sim)
        world = sim.worlds[step.entry]
        for output in core.tick(world, step.now_ms, step.inputs):
            remaining -= _record_output(sim, step.now_ms, output)
            for event in _follow_up_events(sim, world, step.now_ms, output):
                order += 1
                heapq.heappush(sim.heap, event._replace(order=order))
    return sim


def waits_ms(results: abc.Iterable[ArrivalResult]) -> list[float]:
    """Return how long each sent request waited for its slot."""
    return [
        row.sent_ms - row.arrival.at_ms
        for row in results
        if row.sent_ms is not None
    ]


def _next_step(sim: Simulation) -> Step:
    due = [
        (due_ms, entry)
        for entry, world in sim.worlds.items()
        if (due_ms := core.next_due_ms(world)) is not None
    ]
    due_ms, entry = min(due, default=(math.inf, ''))
    if sim.heap and sim.heap[0].due_ms <= due_ms:
        event = heapq.heappop(sim.heap)
        return Step(event.due_ms, event.entry, [event.entry_input])
    return Step(due_ms, entry, [])


def _record_output(sim: Simulation, now_ms: float, output: out.Output) -> int:
    """Record an output; return how many arrivals it completes."""
    results = sim.results
    match output:
        case out.Dispatch(number):
            sim.sends += 1
            if results[number].sent_ms is None:
                results[number] = results[number]._replace(sent_ms=now_ms)
        case out.Relay(number):
            results[number] = results[number]._replace(answered_ms=now_ms)
            return 1
        case out.Refuse(number, refusal):
            results[number] = results[number]._replace(refused=refusal.reason)
            return 1
    return 0


def _follow_up_events(
    sim: Simulation,
    world: core.World,
    now_ms: float,
    output: out.Output,
) -> abc.Iterator[Event]:
    ref = world.node.ref
    match output:
        case out.SendPeer(entry, message):
            peer_message = inp.PeerMessage(ref, message)
            yield Event(now_ms + HOP_MS, 0, entry, peer_message)
        case out.Dispatch():
            dispatch_done = _dispatch_done(sim, now_ms, output)
            yield Event(
                now_ms + dispatch_done.elapsed_ms, 0, ref.entry, dispatch_done
            )


def _dispatch_done(
    sim: Simulation, now_ms: float, sent: out.Dispatch
) -> inp.DispatchDone:
    elapsed_ms = sim.results[sent.request_id].arrival.service_ms
    outcome: verdict.Outcome = verdict.Answered(200)
    match sim.condition:
        case Shedding(share) if sim.random.random() < share:
            elapsed_ms = HOP_MS
            outcome = verdict.Shed()
        case Refusing(upstream) if upstream == sent.upstream:
            elapsed_ms = HOP_MS
            outcome = verdict.NotSent('connection refused')
        case Silent(upstream) if upstream == sent.upstream:
            elapsed_ms = sent.deadline_ms - now_ms
            outcome = verdict.Lost('silent')
    return inp.DispatchDone(sent.request_id, sent.attempt, outcome, elapsed_ms)


def _arrival_event(number: int, arrival: arrivals.Arrival) -> Event:
    arrived = inp.RequestArrived(
        ids.RequestId(number),
        SERVICE,
        arrival.rank,
        arrival.at_ms + arrival.deadline_in_ms,
    )
    return Event(arrival.at_ms, number, f'entry-{arrival.entry}', arrived)


def _world(name: str, names: abc.Sequence[str], queue_max: int) -> core.World:
    ref = ids.EntryRef(ids.EntryId(name), 1)
    node = world_module.NodeRow(ref, DOMAIN, REGION, name)
    world = core.new_world(node, seed=1)
    peers = [inp.PeerSeen(ids.EntryId(x), DOMAIN, x) for x in names]
    inputs: list[inp.Input] = [*peers, inp.StateRead(_state(queue_max))]
    list(core.tick(world, 0.0, inputs))
    return world


def _state(queue_max: int) -> tickets.State:
    service = tickets.ServiceRow(
        SERVICE,
        idempotent=True,
        default_rank=arrivals.URGENT,
        deadline_max_ms=arrivals.NO_DEADLINE_MS,
        service_time_ms=arrivals.SERVICE_MS,
        body_max_bytes=65_536,
        queue_max=queue_max,
    )
    rows = [
        tickets.UpstreamRow(
            ids.UpstreamId(f'upstream-{number}'),
            SERVICE,
            DOMAIN,
            address='',
            slots=arrivals.SLOTS_PER_UPSTREAM,
            connections_max=700,
        )
        for number in range(arrivals.UPSTREAMS)
    ]
    domain = tickets.DomainRow(DOMAIN, REGION, arrivals.ENTRIES)
    return tickets.empty_state()._replace(
        number=1,
        services={SERVICE: service},
        upstreams={row.upstream: row for row in rows},
        domains={DOMAIN: domain},
        ranks={row.rank: row for row in RANKS},
    )
