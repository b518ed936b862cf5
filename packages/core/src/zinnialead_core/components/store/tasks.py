"""Choose the entries that read the store, and schedule their calls."""

from collections import abc
import typing

import xxhash

from zinnialead_core.components.members import models as member_models
from zinnialead_core.components.members import queries
from zinnialead_core.components.store import calls
from zinnialead_core.components.store import const
from zinnialead_core.components.store import eras
from zinnialead_core.components.store import limits
from zinnialead_core.components.store import models
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


class PlannedCall(typing.NamedTuple):
    """Hold the next call of a task."""

    call: calls.Call
    timeout_ms: float


def plan_first_calls(world: world_module.World, now_ms: float) -> None:
    """Plan the first calls, spread out so that a full restart is no burst."""
    if world.store.tasks:
        return
    for task in models.Task:
        due_ms = now_ms + world.random.uniform(0.0, const.START_JITTER_MS)
        world.store.tasks[task] = models.TaskRow(due_ms, None, 0)
    _start_timer(world, now_ms)


def make_due_calls(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Make the calls that are due, and start the timer for the next."""
    for call_id in limits.overdue_calls(world, now_ms):
        overdue = calls.Failed(
            world.store.open_calls[call_id].call.name, 'no result in time'
        )
        finish_call(world, now_ms, call_id, overdue)
    for task, row in world.store.tasks.items():
        if row.call_id is not None or now_ms < row.due_ms:
            continue
        yield from _run_task(world, now_ms, task, row)
    _start_timer(world, now_ms)


def finish_call(
    world: world_module.World,
    now_ms: float,
    call_id: int,
    result: calls.Result,
    era: int = 0,
) -> None:
    """Process a call's result, and plan the next if a task made it.

    Versions of a past era are not kept.
    """
    open_call = world.store.open_calls.pop(call_id, None)
    _count_failures(world, result)
    if open_call is not None and isinstance(open_call.call, calls.WriteState):
        _read_after_write(world, now_ms, result)
        return
    if eras.is_past(world, era):
        result = calls.TooOld(result.name)
    for task, row in world.store.tasks.items():
        if row.call_id == call_id:
            world.store.tasks[task] = _plan_next(
                world, now_ms, task, row, result
            )
            _start_timer(world, now_ms)


def save_state(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Write the state in force over an older one of a restored store."""
    for version in list(world.store.version):
        yield from _write_state(world, now_ms, version)


def save_missing_state(
    world: world_module.World, now_ms: float, done: inp.StoreDone
) -> abc.Iterator[out.Output]:
    """Write the state in force if a restored store has none."""
    match done.result:
        case calls.Missing(const.STATE_OBJECT) if (
            done.era > const.FIRST_ERA
            and not eras.is_past(world, done.era)
            and world.states['in-force'].number > 0
        ):
            yield from _write_state(world, now_ms, None)


def is_reader(world: world_module.World) -> bool:
    """Return whether this entry watches the store for its domain.

    Rendezvous hashing chooses the readers among the live entries.
    """
    own_entry = world.node.ref.entry
    live_entries = [
        row.entry
        for row in queries.domain_peers(world)
        if row.health is member_models.Health.ALIVE
    ]
    entries_above = sum(
        _weight(entry) > _weight(own_entry) for entry in live_entries
    )
    return entries_above < const.READERS_PER_DOMAIN


def _write_state(
    world: world_module.World, now_ms: float, version: int | None
) -> abc.Iterator[out.Output]:
    state = world.states['in-force']
    write = calls.WriteState(const.STATE_OBJECT, state, version)
    store_call = limits.open_call(world, now_ms, write)
    if store_call is not None:
        world.counters['store.state_written_back'] += 1
        yield store_call


def _read_after_write(
    world: world_module.World, now_ms: float, result: calls.Result
) -> None:
    """Read the state anew, unless it was written: the watch tells that."""
    match result:
        case calls.Found():
            return
    world.store.version.clear()
    wait_ms = limits.backoff_ms(world, world.store.failures[0])
    due_ms = now_ms + wait_ms
    world.store.tasks[models.Task.STATE] = models.TaskRow(due_ms, None, 0)
    _start_timer(world, now_ms)


def _run_task(
    world: world_module.World,
    now_ms: float,
    task: models.Task,
    row: models.TaskRow,
) -> abc.Iterator[out.Output]:
    """Make a task's call, or check later if it may not be made now."""
    call, timeout_ms = _plan_call(world, task, row)
    may_call = is_reader(world) or _has_no_contact(world)
    output = (
        limits.open_call(world, now_ms, call, timeout_ms) if may_call else None
    )
    if output is None:
        check_ms = now_ms + const.ROLE_CHECK_MS * world.random.uniform(0.5, 1)
        world.store.tasks[task] = row._replace(due_ms=check_ms)
        return
    world.store.tasks[task] = row._replace(call_id=output.call_id)
    yield output


def _plan_call(
    world: world_module.World, task: models.Task, row: models.TaskRow
) -> PlannedCall:
    match task:
        case models.Task.LIST:
            listing = calls.ListVms(after=row.after)
            return PlannedCall(listing, const.CALL_TIMEOUT_MS)
        case models.Task.STATE:
            if world.store.version:
                watch = calls.Watch(
                    const.STATE_OBJECT, world.store.position[0]
                )
                return PlannedCall(watch, const.WATCH_TIMEOUT_MS)
            if row.lost_history:
                read_latest = calls.ReadLatest(const.STATE_OBJECT)
                return PlannedCall(read_latest, const.CALL_TIMEOUT_MS)
            read = calls.Read(const.STATE_OBJECT)
            return PlannedCall(read, const.CALL_TIMEOUT_MS)


def _plan_next(
    world: world_module.World,
    now_ms: float,
    task: models.Task,
    row: models.TaskRow,
    result: calls.Result,
) -> models.TaskRow:
    """Return the row of a task after its call had a result."""
    match task, result:
        case models.Task.STATE, calls.Failed() | calls.Refused():
            # A store that was away may come back from an older copy.
            world.store.version.clear()
    match result:
        case calls.Failed() | calls.Conflict():
            wait_ms = limits.backoff_ms(world, row.failures)
            return models.TaskRow(now_ms + wait_ms, None, row.failures + 1)
        case calls.Refused(_, retry_after_ms):
            wait_ms = retry_after_ms + limits.backoff_ms(world, row.failures)
            return models.TaskRow(now_ms + wait_ms, None, row.failures + 1)
        case calls.Listed(_, next_after) if next_after:
            return models.TaskRow(now_ms, None, 0, next_after)
        case calls.Listed():
            period_ms = const.LIST_PERIOD_MS * world.random.uniform(0.9, 1.1)
            return models.TaskRow(now_ms + period_ms, None, 0)
        case calls.Found(_, _, version, position):
            world.store.version[:] = [version]
            world.store.position[:] = [max(version, position)]
        case calls.Unchanged(_, revision) if revision:
            world.store.position[:] = [revision]
        case calls.Missing(_, position):
            world.store.version[:] = [0]
            world.store.position[:] = [position]
        case calls.TooOld():
            # Without a version the call was a read, of a past era.
            lost_history = bool(world.store.version)
            world.store.version.clear()
            wait_ms = limits.backoff_ms(world, row.failures)
            return models.TaskRow(
                now_ms + wait_ms,
                None,
                row.failures + 1,
                lost_history=lost_history,
            )
    # The next watch may begin too early again.
    failures = row.failures if row.lost_history else 0
    return models.TaskRow(now_ms, None, failures)


def _count_failures(world: world_module.World, result: calls.Result) -> None:
    match result:
        case calls.Failed() | calls.Refused():
            world.store.failures[0] += 1
            world.counters['store.failed'] += 1
        case _:
            world.store.failures[0] = 0


def _has_no_contact(world: world_module.World) -> bool:
    """Return whether live peers are known only from the list of VMs.

    Such an entry cannot get the state from a peer.
    """
    return not any(row.incarnation for row in queries.live_peers(world))


def _start_timer(world: world_module.World, now_ms: float) -> None:
    due_ms = [
        now_ms + const.CALL_TIMEOUT_MS if row.call_id else row.due_ms
        for row in world.store.tasks.values()
    ]
    timers.start(world.timers, timers.StoreDue(), min(due_ms))


def _weight(entry: ids.EntryId) -> int:
    return xxhash.xxh3_64_intdigest(f'reader/{entry}'.encode())
