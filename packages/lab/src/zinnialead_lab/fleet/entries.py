"""Run the entries' ticks and carry out what they ask for."""

import collections
from collections import abc

import zinnialead_core as core
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_core import world as world_module
from zinnialead_lab.fleet import callers
from zinnialead_lab.fleet import const
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import models
from zinnialead_lab.fleet import network
from zinnialead_lab.fleet import plain
from zinnialead_lab.fleet import store
from zinnialead_lab.fleet import upstreams


def start(
    fleet: models.Fleet,
    entry: ids.EntryId,
    domain: ids.DomainId,
    incarnation: int,
) -> None:
    """Start a run of an entry with nothing in memory."""
    region = fleet.state.domains[domain].region
    ref = ids.EntryRef(entry, incarnation)
    seed = fleet.random.getrandbits(32)
    policy: models.Policy
    if fleet.plain:
        policy = models.Plain(plain.new_table(seed))
    else:
        node = world_module.NodeRow(ref, domain, region, address(entry))
        policy = models.Core(core.new_world(node, seed))
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
    if fleet.plain:
        feed(fleet, entry, inp.StateRead(fleet.state))


def address(entry: ids.EntryId) -> str:
    """Return the address that stands for an entry."""
    return f'{entry}:7000'


def listing(fleet: models.Fleet) -> abc.Iterator[inp.PeerSeen]:
    """Yield the platform's list of VMs, which lags behind the dead."""
    for row in fleet.entries.values():
        gone_ms = fleet.now_ms - row.ended_ms
        dead = row.process_state in (
            models.ProcessState.DEAD,
            models.ProcessState.STOPPED,
        )
        if dead and gone_ms > const.LIST_LAG_MS:
            continue
        yield inp.PeerSeen(row.ref.entry, row.domain, address(row.ref.entry))


def seeds(
    fleet: models.Fleet, entry: ids.EntryId
) -> abc.Iterator[inp.PeerSeen]:
    """Yield what an entry's settings name: itself and a few peers."""
    named: collections.Counter[ids.DomainId] = collections.Counter()
    for name, row in fleet.entries.items():
        named[row.domain] += 1
        if name == entry or named[row.domain] <= const.SEEDS_PER_DOMAIN:
            yield inp.PeerSeen(name, row.domain, address(name))


def feed(fleet: models.Fleet, entry: ids.EntryId, *inputs: inp.Input) -> None:
    """Run one tick of an entry; a paused one holds its inputs back."""
    row = fleet.entries[entry]
    if row.process_state is models.ProcessState.PAUSED:
        row.held.extend(inputs)
        return
    if row.process_state is not models.ProcessState.RUNNING:
        return
    for output in _timed_tick(fleet, row, inputs):
        _carry_out(fleet, row, output)
    _note_state(fleet, row)
    _wake(fleet, row)


def feed_run(
    fleet: models.Fleet, ref: ids.EntryRef, *inputs: inp.Input
) -> None:
    """Run one tick of an entry if ``ref`` still names its run."""
    if fleet.entries[ref.entry].ref == ref:
        feed(fleet, ref.entry, *inputs)


def wake(fleet: models.Fleet, ref: ids.EntryRef) -> None:
    """Run an entry's due timers."""
    if fleet.wakes_ms.get(ref.entry) == fleet.now_ms:
        del fleet.wakes_ms[ref.entry]
        feed_run(fleet, ref)


def outcome(fleet: models.Fleet, event: events.OutcomeArrives) -> None:
    """Bring the outcome of an attempt to the entry that waits for it."""
    row = fleet.dispatches.pop(event.dispatch, None)
    if row is None:
        return
    call, attempt = event.dispatch
    pair = (call.ref.entry, row.upstream)
    match event.outcome:
        case verdict.NotSent():
            pass
        case verdict.Answered():
            fleet.answers[event.dispatch] = event.work_id
            fleet.heard_ms[pair] = fleet.now_ms
        case _:
            fleet.heard_ms[pair] = fleet.now_ms
    done = inp.DispatchDone(call.request_id, attempt, event.outcome)
    feed_run(fleet, call.ref, done)


def cancel_timeout(fleet: models.Fleet, name: models.DispatchId) -> None:
    """Close the connection of a cancellation that got no answer."""
    row = fleet.dispatches.get(name)
    if row is None:
        return
    pair = (name.call.ref.entry, row.upstream)
    fleet.silent.discard(pair)
    fleet.heard_ms.pop(pair, None)
    lost = verdict.Lost('no answer to the cancellation')
    outcome(fleet, events.OutcomeArrives(name, lost, row.work.work_id))


def _timed_tick(
    fleet: models.Fleet,
    row: models.EntryRow,
    inputs: abc.Sequence[inp.Input],
) -> list[out.Output]:
    if fleet.meter is None:
        return list(_tick(fleet, row.policy, inputs))
    kind = _kind(inputs)
    started_s = fleet.meter.clock_s()
    outputs = list(_tick(fleet, row.policy, inputs))
    spent_s = fleet.meter.clock_s() - started_s
    fleet.meter.tick_s[kind] += spent_s
    fleet.meter.entry_s[row.ref.entry] += spent_s
    return outputs


def _kind(inputs: abc.Sequence[inp.Input]) -> str:
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
        case models.Core(world):
            return core.tick(world, fleet.now_ms, inputs)
        case models.Plain(table):
            return plain.tick(table, fleet.now_ms, inputs)


def _wake(fleet: models.Fleet, row: models.EntryRow) -> None:
    match row.policy:
        case models.Core(world):
            due_ms = core.next_due_ms(world)
        case models.Plain(table):
            due_ms = plain.next_due_ms(table)
    if due_ms is None:
        return
    due_ms = max(due_ms, fleet.now_ms)
    known_ms = fleet.wakes_ms.get(row.ref.entry)
    if known_ms is None or due_ms < known_ms:
        fleet.wakes_ms[row.ref.entry] = due_ms
        network.at(fleet, due_ms, events.Wake(row.ref))


def _note_state(fleet: models.Fleet, row: models.EntryRow) -> None:
    match row.policy:
        case models.Core(world):
            number = world.states['in-force'].number
        case models.Plain():
            return
    highest = fleet.highest.get(row.ref, 0)
    if number > highest:
        fleet.adopted_ms[row.ref, number] = fleet.now_ms
        fleet.highest[row.ref] = number
    if number < highest:
        fleet.counters['tickets.reverted'] += 1


def _carry_out(
    fleet: models.Fleet, row: models.EntryRow, output: out.Output
) -> None:
    match output:
        case out.SendPeer():
            network.send_peer(fleet, row, output)
        case out.Dispatch():
            upstreams.dispatch(fleet, row, output)
        case out.CancelDispatch():
            upstreams.cancel(fleet, row, output)
        case out.Relay() | out.Replay() | out.Refuse():
            callers.answer(fleet, row, output)
        case out.CallStore():
            store.call(fleet, row, output)
        case out.Stopped():
            stop(fleet, row.ref.entry)
        case out.LogChange():
            fleet.counters['log_changes'] += 1
        case out.Notify():
            raise AssertionError(f'{output} left the tick')


def stop(fleet: models.Fleet, entry: ids.EntryId) -> None:
    """End an entry's process after a planned stop."""
    cut = end(fleet, entry, models.ProcessState.STOPPED)
    fleet.counters['stop.cut'] += cut


def end(
    fleet: models.Fleet, entry: ids.EntryId, process_state: models.ProcessState
) -> int:
    """End an entry's process; return how many calls that cuts."""
    row = fleet.entries[entry]
    fleet.entries[entry] = row._replace(
        process_state=process_state, ended_ms=fleet.now_ms
    )
    fleet.wakes_ms.pop(entry, None)
    cut = [call for call in fleet.calls if call.ref == row.ref]
    for call in cut:
        known = fleet.calls.pop(call)
        failed = events.CallFails(known.work_id, known.attempt, sent=True)
        network.after(fleet, const.CALLER_LATENCY_MS, failed)
    return len(cut)
