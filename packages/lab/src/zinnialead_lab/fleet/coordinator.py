"""Set a fleet up and run its events in order of their time."""

import collections
from collections import abc
import heapq
import random

from zinnialead_core.components import store as calls
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_lab.fleet import callers
from zinnialead_lab.fleet import const
from zinnialead_lab.fleet import entries
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import injections
from zinnialead_lab.fleet import models
from zinnialead_lab.fleet import network
from zinnialead_lab.fleet import store
from zinnialead_lab.fleet import upstreams


def new_fleet(
    state: tickets.State,
    entries_per_domain: int,
    seed: int,
    plain: bool = False,
) -> models.Fleet:
    """Return a fleet in which every entry has ``state`` in force.

    The store stands in the first domain of the state.
    """
    fleet = _empty(state, seed, plain)
    for domain in state.domains:
        for number in range(1, entries_per_domain + 1):
            entry = ids.EntryId(f'{domain}-entry-{number}')
            entries.start(fleet, entry, domain, 1)
    for row in state.upstreams.values():
        region = state.domains[row.domain].region
        fleet.upstreams[row.upstream] = models.UpstreamRow(
            row,
            region,
            models.Condition.WELL,
            models.LoadFault.NONE,
            0.0,
            {},
            {},
            [0],
        )
    store.file(fleet, state)
    seen = tuple(entries.listing(fleet))
    for entry in fleet.entries:
        entries.feed(fleet, entry, *seen, inp.StateRead(state))
    network.after(fleet, 0.0, events.ReportRound())
    return fleet


def add_work(fleet: models.Fleet, works: abc.Iterable[models.Work]) -> None:
    """Let callers start this work at its times."""
    for work in works:
        network.at(fleet, work.arrived_ms, events.WorkArrives(work))


def add_injections(
    fleet: models.Fleet,
    timed: abc.Iterable[tuple[float, injections.Injection]],
) -> None:
    """Bring about these faults and acts at their times."""
    for due_ms, injection in timed:
        network.at(fleet, due_ms, events.Inject(injection))


def step(fleet: models.Fleet) -> bool:
    """Run the next event; return whether there was one."""
    if not fleet.heap:
        return False
    due_ms, _, event = heapq.heappop(fleet.heap)
    fleet.now_ms = max(fleet.now_ms, due_ms)
    _run(fleet, event)
    return True


def run_until(fleet: models.Fleet, now_ms: float) -> None:
    """Run every event due by ``now_ms``."""
    while fleet.heap and fleet.heap[0][0] <= now_ms:
        step(fleet)
    fleet.now_ms = now_ms


def _run(fleet: models.Fleet, event: object) -> None:
    match event:
        case events.Wake(ref):
            entries.wake(fleet, ref)
        case events.Deliver(entry, item):
            entries.feed(fleet, entry, item)
        case events.DeliverTo(ref, item):
            entries.feed_run(fleet, ref, item)
        case events.OutcomeArrives():
            entries.outcome(fleet, event)
        case events.StoreCallArrives(ref, output):
            store.serve(fleet, ref, output)
        case events.StoreCallEnds():
            _store_done(fleet, event)
        case events.ReportRound():
            upstreams.report(fleet)
            network.after(fleet, const.REPORT_PERIOD_MS, event)
        case events.Inject(injection):
            injections.inject(fleet, injection)
        case _:
            _run_upstream(fleet, event)


def _run_upstream(fleet: models.Fleet, event: object) -> None:
    match event:
        case events.DispatchArrives(row):
            upstreams.serve(fleet, row)
        case events.RunEnds(row):
            upstreams.end_run(fleet, row)
        case events.CancelArrives(name, upstream):
            upstreams.withdraw(fleet, name, upstream)
        case events.CancelTimeout(name):
            entries.cancel_timeout(fleet, name)
        case _:
            _run_caller(fleet, event)


def _run_caller(fleet: models.Fleet, event: object) -> None:
    match event:
        case events.WorkArrives(work):
            callers.start(fleet, work)
        case events.CallArrives():
            item = callers.arrive(fleet, event)
            if item is not None:
                entries.feed(fleet, event.entry, item)
        case events.CallEnds():
            callers.ended(fleet, event)
        case events.CallFails():
            callers.failed(fleet, event)
        case events.CallerLeaves(work_id):
            callers.leave(fleet, work_id)
        case _:
            raise AssertionError(f'unknown event {event}')


def _store_done(fleet: models.Fleet, event: events.StoreCallEnds) -> None:
    name = (event.ref, event.call_id)
    fleet.watches.pop(name, None)
    if name in fleet.store_done:
        return
    fleet.store_done.add(name)
    done = inp.StoreDone(event.call_id, event.result)
    told = _told(fleet, event.result)
    entries.feed_run(fleet, event.ref, done, *told)


def _told(
    fleet: models.Fleet, result: calls.Result
) -> abc.Iterator[inp.Input]:
    match result:
        case calls.Listed():
            yield from entries.listing(fleet)
        case calls.Found(const.STATE_OBJECT, value):
            yield inp.StateRead(fleet.states[value])


def _empty(state: tickets.State, seed: int, plain: bool) -> models.Fleet:
    return models.Fleet(
        now_ms=0.0,
        sequence=0,
        heap=[],
        state=state,
        entries={},
        wakes_ms={},
        upstreams={},
        network=models.NetworkRow(),
        store=models.StoreRow(next(iter(state.domains))),
        objects={},
        watches={},
        store_done=set(),
        states={},
        look_ups={},
        works={},
        callers={},
        calls={},
        completions=[],
        dispatches={},
        answers={},
        runs=[],
        silent=set(),
        heard_ms={},
        adopted_ms={},
        highest={},
        filed_ms={},
        kills=[],
        sent_works=set(),
        counters=collections.Counter(),
        random=random.Random(seed),
        plain=plain,
    )
