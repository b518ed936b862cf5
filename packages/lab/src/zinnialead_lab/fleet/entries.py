"""Run the ticks of the entries and execute their outputs."""

import collections
from collections import abc

import zinnialead_core as core
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_core import world as world_module
from zinnialead_lab.fleet import baseline
from zinnialead_lab.fleet import callers
from zinnialead_lab.fleet import const
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import models
from zinnialead_lab.fleet import network
from zinnialead_lab.fleet import store
from zinnialead_lab.fleet import upstreams


def start(
    fleet: models.Fleet,
    entry: ids.EntryId,
    domain: ids.DomainId,
    incarnation: int,
) -> None:
    """Start an entry process with an empty memory."""
    region = fleet.state.domains[domain].region
    ref = ids.EntryRef(entry, incarnation)
    seed = fleet.random.getrandbits(32)
    policy: models.Policy
    if fleet.is_baseline:
        policy = models.BaselinePolicy(baseline.new_table(seed))
    else:
        node = world_module.NodeRow(ref, domain, region, address(entry))
        policy = models.CorePolicy(core.new_world(node, seed))
    fleet.entries[entry] = models.EntryRow(
        ref,
        domain,
        region,
        policy,
        models.ProcessState.RUNNING,
        fleet.now_ms,
        0.0,
        [],
    )
    if fleet.is_baseline:
        feed(fleet, entry, inp.StateRead(fleet.state))


def address(entry: ids.EntryId) -> str:
    """Return the simulated address of an entry."""
    return f'{entry}:7000'


def listed_peers(fleet: models.Fleet) -> abc.Iterator[inp.PeerSeen]:
    """Yield the platform's list of VMs; ended ones stay for a while."""
    for row in fleet.entries.values():
        since_end_ms = fleet.now_ms - row.ended_ms
        has_ended = row.process_state in (
            models.ProcessState.DEAD,
            models.ProcessState.STOPPED,
        )
        if has_ended and since_end_ms > const.LIST_LAG_MS:
            continue
        yield inp.PeerSeen(row.ref.entry, row.domain, address(row.ref.entry))


def seed_peers(
    fleet: models.Fleet, entry: ids.EntryId
) -> abc.Iterator[inp.PeerSeen]:
    """Yield an entry's configured seeds: itself and a few peers."""
    counts: collections.Counter[ids.DomainId] = collections.Counter()
    for name, row in fleet.entries.items():
        counts[row.domain] += 1
        if name == entry or counts[row.domain] <= const.SEEDS_PER_DOMAIN:
            yield inp.PeerSeen(name, row.domain, address(name))


def feed(fleet: models.Fleet, entry: ids.EntryId, *inputs: inp.Input) -> None:
    """Run one tick of an entry, or hold the inputs while it is paused."""
    row = fleet.entries[entry]
    if row.process_state is models.ProcessState.PAUSED:
        row.held_inputs.extend(inputs)
        return
    if row.process_state is not models.ProcessState.RUNNING:
        return
    for output in _timed_tick(fleet, row, inputs):
        _execute_output(fleet, row, output)
    _record_ticket_number(fleet, row)
    _schedule_wake(fleet, row)


def feed_incarnation(
    fleet: models.Fleet, ref: ids.EntryRef, *inputs: inp.Input
) -> None:
    """Run one tick of an entry if its incarnation is still ``ref``."""
    if fleet.entries[ref.entry].ref == ref:
        feed(fleet, ref.entry, *inputs)


def run_due_timers(fleet: models.Fleet, ref: ids.EntryRef) -> None:
    """Run the due timers of an entry."""
    if fleet.wake_times_ms.get(ref.entry) == fleet.now_ms:
        del fleet.wake_times_ms[ref.entry]
        feed_incarnation(fleet, ref)


def deliver_outcome(fleet: models.Fleet, event: events.OutcomeArrives) -> None:
    """Deliver the outcome of an attempt to the entry that sent it."""
    row = fleet.dispatches.pop(event.dispatch, None)
    if row is None:
        return
    call, attempt = event.dispatch
    connection = (call.ref.entry, row.upstream)
    match event.outcome:
        case verdict.NotSent():
            pass
        case verdict.Answered():
            fleet.answered_work_ids[event.dispatch] = event.work_id
            fleet.last_outcome_ms[connection] = fleet.now_ms
        case _:
            fleet.last_outcome_ms[connection] = fleet.now_ms
    dispatch_done = inp.DispatchDone(call.request_id, attempt, event.outcome)
    feed_incarnation(fleet, call.ref, dispatch_done)


def cancel_timeout(fleet: models.Fleet, dispatch: models.DispatchId) -> None:
    """Close the connection of a cancellation that timed out."""
    row = fleet.dispatches.get(dispatch)
    if row is None:
        return
    connection = (dispatch.call.ref.entry, row.upstream)
    fleet.silent_connections.discard(connection)
    fleet.last_outcome_ms.pop(connection, None)
    lost = verdict.Lost('no answer to the cancellation')
    deliver_outcome(
        fleet, events.OutcomeArrives(dispatch, lost, row.work.work_id)
    )


def _timed_tick(
    fleet: models.Fleet,
    row: models.EntryRow,
    inputs: abc.Sequence[inp.Input],
) -> list[out.Output]:
    if fleet.meter is None:
        return list(_tick(fleet, row.policy, inputs))
    meter_key = _meter_key(inputs)
    started_s = fleet.meter.clock_s()
    outputs = list(_tick(fleet, row.policy, inputs))
    tick_s = fleet.meter.clock_s() - started_s
    fleet.meter.tick_s[meter_key] += tick_s
    fleet.meter.entry_s[row.ref.entry] += tick_s
    return outputs


def _meter_key(inputs: abc.Sequence[inp.Input]) -> str:
    match inputs:
        case [inp.PeerMessage(_, message), *_]:
            return type(message).__name__
        case [first, *_]:
            return type(first).__name__
        case _:
            return 'timers'


def _tick(
    fleet: models.Fleet,
    policy: models.Policy,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    match policy:
        case models.CorePolicy(world):
            return core.tick(world, fleet.now_ms, inputs)
        case models.BaselinePolicy(table):
            return baseline.tick(table, fleet.now_ms, inputs)


def _schedule_wake(fleet: models.Fleet, row: models.EntryRow) -> None:
    match row.policy:
        case models.CorePolicy(world):
            due_ms = core.next_due_ms(world)
        case models.BaselinePolicy(table):
            due_ms = baseline.next_due_ms(table)
    if due_ms is None:
        return
    due_ms = max(due_ms, fleet.now_ms)
    scheduled_ms = fleet.wake_times_ms.get(row.ref.entry)
    if scheduled_ms is None or due_ms < scheduled_ms:
        fleet.wake_times_ms[row.ref.entry] = due_ms
        network.schedule_at(fleet, due_ms, events.Wake(row.ref))


def _record_ticket_number(fleet: models.Fleet, row: models.EntryRow) -> None:
    match row.policy:
        case models.CorePolicy(world):
            ticket_number = world.states['in-force'].number
        case models.BaselinePolicy():
            return
    highest = fleet.highest_tickets.get(row.ref, 0)
    if ticket_number > highest:
        fleet.adopted_ms[row.ref, ticket_number] = fleet.now_ms
        fleet.highest_tickets[row.ref] = ticket_number
    if ticket_number < highest:
        fleet.counters['tickets.reverted'] += 1


def _execute_output(
    fleet: models.Fleet, row: models.EntryRow, output: out.Output
) -> None:
    match output:
        case out.SendPeer():
            network.send_peer(fleet, row, output)
        case out.Dispatch():
            upstreams.send_attempt(fleet, row, output)
        case out.CancelDispatch():
            upstreams.send_cancel(fleet, row, output)
        case out.Relay() | out.Replay() | out.Refuse():
            callers.send_answer(fleet, row, output)
        case out.CallStore():
            store.send_call(fleet, row, output)
        case out.Stopped():
            stop(fleet, row.ref.entry)
        case out.StopStarted():
            fleet.counters['stop.started'] += 1
        case out.LogChange():
            fleet.counters['log_changes'] += 1
        case out.Notify():
            raise AssertionError(f'the tick returned the internal {output}')


def stop(fleet: models.Fleet, entry: ids.EntryId) -> None:
    """End an entry's process after a graceful stop."""
    interrupted = end_process(fleet, entry, models.ProcessState.STOPPED)
    fleet.counters['stop.cut'] += interrupted


def end_process(
    fleet: models.Fleet, entry: ids.EntryId, process_state: models.ProcessState
) -> int:
    """End an entry's process; return how many calls it interrupts."""
    row = fleet.entries[entry]
    fleet.entries[entry] = row._replace(
        process_state=process_state, ended_ms=fleet.now_ms
    )
    fleet.wake_times_ms.pop(entry, None)
    interrupted = [call for call in fleet.calls if call.ref == row.ref]
    for call in interrupted:
        call_row = fleet.calls.pop(call)
        failed = events.CallFails(
            call_row.work_id, call_row.attempt, sent=True
        )
        network.schedule_after(fleet, const.CALLER_LATENCY_MS, failed)
    return len(interrupted)
