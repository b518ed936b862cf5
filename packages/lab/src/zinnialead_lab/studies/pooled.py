"""Run the owner's queue of the core for one domain's entries."""

from collections import abc
import heapq
import math
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
DEADLINE_MS = 10_000_000.0
DOMAIN = ids.DomainId('domain-a')
REGION = ids.RegionId('region')
SERVICE = ids.ServiceId('intake')
RANK = ids.RankId('urgent')


class Event(typing.NamedTuple):
    """Hold an input that is due at an entry; ``order`` breaks ties."""

    due_ms: float
    order: int
    entry: str
    item: inp.Input


def waits(found: abc.Sequence[arrivals.Arrival]) -> list[float]:
    """Return the waits until dispatch by the core's own systems."""
    worlds = {f'entry-{n}': _world(n) for n in range(arrivals.ENTRIES)}
    sent_ms: dict[int, float] = {}
    heap = [_arrives(number, item) for number, item in enumerate(found)]
    heapq.heapify(heap)
    order = len(found)
    while len(sent_ms) < len(found):
        now_ms, entry, given = _next(worlds, heap)
        for output in core.tick(worlds[entry], now_ms, given):
            match output:
                case out.Dispatch(request_id, 1):
                    sent_ms[request_id] = now_ms
            for event in _follow(worlds[entry], output, now_ms, found):
                order += 1
                heapq.heappush(heap, event._replace(order=order))
    return [at_ms - found[n].at_ms for n, at_ms in sent_ms.items()]


class Step(typing.NamedTuple):
    """Hold which entry ticks next, when, and over what."""

    now_ms: float
    entry: str
    given: list[inp.Input]


def _next(worlds: dict[str, core.World], heap: list[Event]) -> Step:
    due = [
        (due_ms, entry)
        for entry, world in worlds.items()
        if (due_ms := core.next_due_ms(world)) is not None
    ]
    due_ms, entry = min(due, default=(math.inf, ''))
    if heap and heap[0].due_ms <= due_ms:
        event = heapq.heappop(heap)
        return Step(event.due_ms, event.entry, [event.item])
    return Step(due_ms, entry, [])


def _arrives(number: int, item: arrivals.Arrival) -> Event:
    arrived = inp.RequestArrived(
        ids.RequestId(number), SERVICE, RANK, item.at_ms + DEADLINE_MS
    )
    return Event(item.at_ms, number, f'entry-{item.entry}', arrived)


def _follow(
    world: core.World,
    output: out.Output,
    now_ms: float,
    found: abc.Sequence[arrivals.Arrival],
) -> abc.Iterator[Event]:
    match output:
        case out.SendPeer(entry, message):
            given = inp.PeerMessage(world.node.ref, message)
            yield Event(now_ms + HOP_MS, 0, entry, given)
        case out.Dispatch(request_id, attempt):
            service_ms = found[request_id].service_ms
            done = inp.DispatchDone(
                request_id, attempt, verdict.Answered(200), service_ms
            )
            entry = world.node.ref.entry
            yield Event(now_ms + service_ms, 0, entry, done)
        case out.Refuse(request_id, refusal):
            raise AssertionError(f'request {request_id}: {refusal}')


def _world(number: int) -> core.World:
    entry = f'entry-{number}'
    ref = ids.EntryRef(ids.EntryId(entry), 1)
    node = world_module.NodeRow(ref, DOMAIN, REGION, entry)
    world = core.new_world(node, seed=1)
    seen = [
        inp.PeerSeen(ids.EntryId(f'entry-{n}'), DOMAIN, f'entry-{n}')
        for n in range(arrivals.ENTRIES)
    ]
    list(core.tick(world, 0.0, [*seen, inp.StateRead(_state())]))
    return world


def _state() -> tickets.State:
    service = tickets.ServiceRow(
        SERVICE, True, RANK, DEADLINE_MS, arrivals.SERVICE_MS, 65_536, 100_000
    )
    upstreams = {
        ids.UpstreamId(f'u{n}'): tickets.UpstreamRow(
            ids.UpstreamId(f'u{n}'),
            SERVICE,
            DOMAIN,
            '',
            arrivals.SLOTS_EACH,
            700,
        )
        for n in range(arrivals.UPSTREAMS)
    }
    return tickets.empty_state()._replace(
        number=1,
        services={SERVICE: service},
        upstreams=upstreams,
        domains={DOMAIN: tickets.DomainRow(DOMAIN, REGION, arrivals.ENTRIES)},
        ranks={RANK: tickets.RankRow(RANK, 0, 1.0, 0.0, 100.0)},
    )
