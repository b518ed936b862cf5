"""Set up a fleet and run its events in order of time."""

import collections
from collections import abc
import heapq
import random

from zinnialead_core.components import store as store_calls
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
    is_baseline: bool = False,
) -> models.Fleet:
    """Return a fleet in which every entry has ``state`` in force.

    The store is in the first domain of the state.
    """
    fleet = _empty_fleet(state, seed, is_baseline)
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
    store.file_ticket(fleet, state)
    peers = tuple(entries.listed_peers(fleet))
    for entry in fleet.entries:
        entries.feed(fleet, entry, *peers, inp.StateRead(state))
    network.schedule_after(fleet, 0.0, events.ReportRound())
    return fleet


def add_work(fleet: models.Fleet, works: abc.Iterable[models.Work]) -> None:
    """Schedule the arrival of each piece of work."""
    for work in works:
        network.schedule_at(fleet, work.arrived_ms, events.WorkArrives(work))


def add_injections(
    fleet: models.Fleet,
    timed_injections: abc.Iterable[tuple[float, injections.Injection]],
) -> None:
    """Schedule faults and operator actions, each at its time in ms."""
    for due_ms, injection in timed_injections:
        network.schedule_at(fleet, due_ms, events.Inject(injection))


def step(fleet: models.Fleet) -> bool:
    """Run the next event; return whether there was one."""
    if not fleet.heap:
        return False
    due_ms, _, event = heapq.heappop(fleet.heap)
    fleet.now_ms = max(fleet.now_ms, due_ms)
    _run_event(fleet, event)
    return True


def run_until(fleet: models.Fleet, now_ms: float) -> None:
    """Run every event due by ``now_ms``."""
    while fleet.heap and fleet.heap[0][0] <= now_ms:
        step(fleet)
    fleet.now_ms = now_ms


def _run_event(fleet: models.Fleet, event: object) -> None:
    match event:
        case events.Wake(ref):
            entries.run_due_timers(fleet, ref)
        case events.Deliver(entry, entry_input):
            entries.feed(fleet, entry, entry_input)
        case events.DeliverToIncarnation(ref, entry_input):
            entries.feed_incarnation(fleet, ref, entry_input)
        case events.OutcomeArrives():
            entries.deliver_outcome(fleet, event)
        case events.StoreCallArrives(ref, output):
            store.serve_call(fleet, ref, output)
        case events.StoreCallEnds():
            _finish_store_call(fleet, event)
        case events.ReportRound():
            upstreams.send_reports(fleet)
            network.schedule_after(fleet, const.REPORT_PERIOD_MS, event)
        case events.Inject(injection):
            injections.inject(fleet, injection)
        case _:
            _run_upstream_event(fleet, event)


def _run_upstream_event(fleet: models.Fleet, event: object) -> None:
    match event:
        case events.DispatchArrives(row):
            upstreams.receive_attempt(fleet, row)
        case events.RunEnds(row):
            upstreams.finish_run(fleet, row)
        case events.CancelArrives(dispatch, upstream):
            upstreams.receive_cancel(fleet, dispatch, upstream)
        case events.CancelTimeout(dispatch):
            entries.cancel_timeout(fleet, dispatch)
        case _:
            _run_caller_event(fleet, event)


def _run_caller_event(fleet: models.Fleet, event: object) -> None:
    match event:
        case events.WorkArrives(work):
            callers.start_work(fleet, work)
        case events.CallArrives():
            entry_input = callers.accept_call(fleet, event)
            if entry_input is not None:
                entries.feed(fleet, event.entry, entry_input)
        case events.CallEnds():
            callers.handle_end(fleet, event)
        case events.CallFails():
            callers.handle_failure(fleet, event)
        case events.CallerTimeout(work_id):
            callers.time_out(fleet, work_id)
        case _:
            raise AssertionError(f'unknown event {event}')


def _finish_store_call(
    fleet: models.Fleet, event: events.StoreCallEnds
) -> None:
    call_ref = (event.ref, event.call_id)
    fleet.watches.pop(call_ref, None)
    if call_ref in fleet.finished_store_calls:
        return
    fleet.finished_store_calls.add(call_ref)
    store_done = inp.StoreDone(event.call_id, event.result)
    follow_ups = _follow_up_inputs(fleet, event.result)
    entries.feed_incarnation(fleet, event.ref, store_done, *follow_ups)


def _follow_up_inputs(
    fleet: models.Fleet, result: store_calls.Result
) -> abc.Iterator[inp.Input]:
    match result:
        case store_calls.Listed():
            yield from entries.listed_peers(fleet)
        case store_calls.Found(const.STATE_OBJECT, value):
            yield inp.StateRead(fleet.states[value])


def _empty_fleet(
    state: tickets.State, seed: int, is_baseline: bool
) -> models.Fleet:
    return models.Fleet(
        now_ms=0.0,
        sequence=0,
        heap=[],
        state=state,
        entries={},
        wake_times_ms={},
        upstreams={},
        network=models.NetworkRow(),
        store=models.StoreRow(next(iter(state.domains))),
        objects={},
        watches={},
        finished_store_calls=set(),
        states={},
        cached_look_ups={},
        works={},
        callers={},
        calls={},
        completions=[],
        dispatches={},
        answered_work_ids={},
        runs=[],
        silent_connections=set(),
        last_outcome_ms={},
        adopted_ms={},
        highest_tickets={},
        filed_ms={},
        kills=[],
        sent_works=set(),
        counters=collections.Counter(),
        random=random.Random(seed),
        is_baseline=is_baseline,
    )
