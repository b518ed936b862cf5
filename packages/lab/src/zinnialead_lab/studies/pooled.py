"""Run the core's entries of one domain over a study's arrivals."""

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
    """Let every upstream serve what it is sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shedding:
    """Let the upstreams shed a share of what they are sent."""

    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusing:
    """Let one upstream refuse every connection."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """Let one upstream take requests and never answer."""

    upstream: ids.UpstreamId


Condition = Well | Shedding | Refusing | Silent


class End(typing.NamedTuple):
    """Hold what became of one arrival."""

    arrival: arrivals.Arrival
    sent_ms: float | None = None
    answered_ms: float | None = None
    refused: verdict.Reason | None = None


WELL = Well()


class Event(typing.NamedTuple):
    """Hold an input that is due at an entry; ``order`` breaks ties."""

    due_ms: float
    order: int
    entry: str
    item: inp.Input


class Step(typing.NamedTuple):
    """Hold which entry ticks next, when, and over what."""

    now_ms: float
    entry: str
    given: list[inp.Input]


@dataclasses.dataclass(slots=True)
class Run:
    """Hold the entries, the pending events and the ends of arrivals."""

    worlds: dict[str, core.World]
    heap: list[Event]
    ends: list[End]
    sends: int
    condition: Condition
    random: random.Random


def run(
    found: abc.Sequence[arrivals.Arrival],
    queue_max: int = QUEUE_MAX,
    condition: Condition = WELL,
) -> Run:
    """Take arrivals through the core until each has its end."""
    names = [f'entry-{number}' for number in range(arrivals.ENTRIES)]
    made = Run(
        worlds={name: _world(name, names, queue_max) for name in names},
        heap=[_arrives(number, item) for number, item in enumerate(found)],
        ends=[End(item) for item in found],
        sends=0,
        condition=condition,
        random=random.Random(1),
    )
    heapq.heapify(made.heap)
    order = left = len(found)
    while left > 0:
        step = _next(made)
        world = made.worlds[step.entry]
        for output in core.tick(world, step.now_ms, step.given):
            left -= _note(made, step.now_ms, output)
            for event in _follow(made, world, step.now_ms, output):
                order += 1
                heapq.heappush(made.heap, event._replace(order=order))
    return made


def waits_ms(ends: abc.Iterable[End]) -> list[float]:
    """Return how long those that were sent waited for their slot."""
    return [
        end.sent_ms - end.arrival.at_ms
        for end in ends
        if end.sent_ms is not None
    ]


def _next(made: Run) -> Step:
    due = [
        (due_ms, entry)
        for entry, world in made.worlds.items()
        if (due_ms := core.next_due_ms(world)) is not None
    ]
    due_ms, entry = min(due, default=(math.inf, ''))
    if made.heap and made.heap[0].due_ms <= due_ms:
        event = heapq.heappop(made.heap)
        return Step(event.due_ms, event.entry, [event.item])
    return Step(due_ms, entry, [])


def _note(made: Run, now_ms: float, output: out.Output) -> int:
    """Record what an output says of an arrival; return ends reached."""
    ends = made.ends
    match output:
        case out.Dispatch(number):
            made.sends += 1
            if ends[number].sent_ms is None:
                ends[number] = ends[number]._replace(sent_ms=now_ms)
        case out.Relay(number):
            ends[number] = ends[number]._replace(answered_ms=now_ms)
            return 1
        case out.Refuse(number, refusal):
            ends[number] = ends[number]._replace(refused=refusal.reason)
            return 1
    return 0


def _follow(
    made: Run, world: core.World, now_ms: float, output: out.Output
) -> abc.Iterator[Event]:
    ref = world.node.ref
    match output:
        case out.SendPeer(entry, message):
            given = inp.PeerMessage(ref, message)
            yield Event(now_ms + HOP_MS, 0, entry, given)
        case out.Dispatch():
            done = _served(made, now_ms, output)
            yield Event(now_ms + done.elapsed_ms, 0, ref.entry, done)


def _served(made: Run, now_ms: float, sent: out.Dispatch) -> inp.DispatchDone:
    took_ms = made.ends[sent.request_id].arrival.service_ms
    outcome: verdict.Outcome = verdict.Answered(200)
    match made.condition:
        case Shedding(share) if made.random.random() < share:
            took_ms = HOP_MS
            outcome = verdict.Shed()
        case Refusing(upstream) if upstream == sent.upstream:
            took_ms = HOP_MS
            outcome = verdict.NotSent('connection refused')
        case Silent(upstream) if upstream == sent.upstream:
            took_ms = sent.deadline_ms - now_ms
            outcome = verdict.Lost('silent')
    return inp.DispatchDone(sent.request_id, sent.attempt, outcome, took_ms)


def _arrives(number: int, item: arrivals.Arrival) -> Event:
    arrived = inp.RequestArrived(
        ids.RequestId(number),
        SERVICE,
        item.rank,
        item.at_ms + item.deadline_in_ms,
    )
    return Event(item.at_ms, number, f'entry-{item.entry}', arrived)


def _world(name: str, names: abc.Sequence[str], queue_max: int) -> core.World:
    ref = ids.EntryRef(ids.EntryId(name), 1)
    node = world_module.NodeRow(ref, DOMAIN, REGION, name)
    world = core.new_world(node, seed=1)
    seen = [inp.PeerSeen(ids.EntryId(x), DOMAIN, x) for x in names]
    given: list[inp.Input] = [*seen, inp.StateRead(_state(queue_max))]
    list(core.tick(world, 0.0, given))
    return world


def _state(queue_max: int) -> tickets.State:
    service = tickets.ServiceRow(
        SERVICE,
        idempotent=True,
        default_rank=arrivals.URGENT,
        deadline_max_ms=arrivals.LONG_MS,
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
            slots=arrivals.SLOTS_EACH,
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
