"""Inject the faults and operator actions of a scenario."""

import dataclasses

from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_lab.fleet import const
from zinnialead_lab.fleet import entries
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import models
from zinnialead_lab.fleet import network
from zinnialead_lab.fleet import store
from zinnialead_lab.fleet import upstreams


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """Kill an entry's process."""

    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """Start a new incarnation of an entry with an empty memory."""

    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Pause an entry's process and hold its inputs."""

    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Resume a paused entry and deliver the held inputs."""

    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Request a graceful stop of an entry."""

    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class Partition:
    """Partition each group of domains from all other domains."""

    groups: tuple[frozenset[ids.DomainId], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SetNetwork:
    """Set the network faults between entries."""

    network: models.NetworkRow


@dataclasses.dataclass(frozen=True, slots=True)
class SetStore:
    """Set the condition of the store."""

    down: bool = False
    slow_ms: float = 0.0
    lost_answer_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class FileTicket:
    """File a ticket that results in ``state``."""

    state: tickets.State


@dataclasses.dataclass(frozen=True, slots=True)
class SetUpstream:
    """Set the condition of an upstream and the fault of its load reports."""

    upstream: ids.UpstreamId
    condition: models.Condition = models.Condition.WELL
    load_fault: models.LoadFault = models.LoadFault.NONE


@dataclasses.dataclass(frozen=True, slots=True)
class StartCold:
    """Restore an upstream with a cold cache."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceConnections:
    """Drop all traffic on the open connections to an upstream."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class Replace:
    """Restart an entry once its graceful stop has ended."""

    entry: ids.EntryId


Injection = (
    Kill
    | Replace
    | Restart
    | Pause
    | Resume
    | Stop
    | Partition
    | SetNetwork
    | SetStore
    | FileTicket
    | SetUpstream
    | StartCold
    | SilenceConnections
)


def inject(fleet: models.Fleet, injection: Injection) -> None:
    """Apply one fault or operator action now."""
    match injection:
        case Kill(entry):
            _kill(fleet, entry)
        case Restart(entry):
            _restart(fleet, entry)
        case Replace(entry):
            _replace(fleet, injection)
        case Pause(entry):
            _set_process_state(fleet, entry, models.ProcessState.PAUSED)
        case Resume(entry):
            _resume(fleet, entry)
        case Stop(entry):
            entries.feed(fleet, entry, inp.StopRequested())
        case _:
            _inject_environment(fleet, injection)


def _inject_environment(fleet: models.Fleet, injection: Injection) -> None:
    match injection:
        case Partition(groups):
            fleet.network = fleet.network._replace(isolated_groups=groups)
        case SetNetwork(row):
            fleet.network = row
        case SetStore(down, slow_ms, share):
            fleet.store = models.StoreRow(
                fleet.store.domain, down, slow_ms, share
            )
        case FileTicket(state):
            _file_ticket(fleet, state)
        case SetUpstream(upstream, condition, load_fault):
            _set_upstream(fleet, upstream, condition, load_fault)
        case StartCold(upstream):
            upstream_row = fleet.upstreams[upstream]
            fleet.upstreams[upstream] = upstream_row._replace(
                condition=models.Condition.WELL,
                cold_until_ms=fleet.now_ms + const.COLD_CACHE_MS,
            )
        case SilenceConnections(upstream):
            for entry in fleet.entries:
                fleet.silent_connections.add((entry, upstream))


def _set_process_state(
    fleet: models.Fleet, entry: ids.EntryId, process_state: models.ProcessState
) -> models.EntryRow:
    row = fleet.entries[entry]._replace(
        process_state=process_state, ended_ms=fleet.now_ms
    )
    fleet.entries[entry] = row
    fleet.wakes_ms.pop(entry, None)
    return row


def _kill(fleet: models.Fleet, entry: ids.EntryId) -> None:
    ref = fleet.entries[entry].ref
    in_flight = sum(
        row.work.keyed and row.dispatch.call.ref == ref
        for row in fleet.dispatches.values()
    )
    fleet.kills.append(models.KillRow(ref, fleet.now_ms, in_flight))
    entries.end_process(fleet, entry, models.ProcessState.DEAD)


def _restart(fleet: models.Fleet, entry: ids.EntryId) -> None:
    row = fleet.entries[entry]
    if row.process_state in (
        models.ProcessState.RUNNING,
        models.ProcessState.PAUSED,
    ):
        _kill(fleet, entry)
    entries.start(fleet, entry, row.domain, row.ref.incarnation + 1)
    entries.feed(fleet, entry, *entries.seed_peers(fleet, entry))


def _replace(fleet: models.Fleet, injection: Replace) -> None:
    if (
        fleet.entries[injection.entry].process_state
        is models.ProcessState.STOPPED
    ):
        _restart(fleet, injection.entry)
        return
    retry = events.Inject(injection)
    network.schedule_after(fleet, const.REPLACE_POLL_MS, retry)


def _resume(fleet: models.Fleet, entry: ids.EntryId) -> None:
    row = fleet.entries[entry]
    if row.process_state is not models.ProcessState.PAUSED:
        return
    row = _set_process_state(fleet, entry, models.ProcessState.RUNNING)
    held_inputs = list(row.held_inputs)
    row.held_inputs.clear()
    entries.feed(fleet, entry, *held_inputs)


def _file_ticket(fleet: models.Fleet, state: tickets.State) -> None:
    if not store.file_ticket(fleet, state):
        fleet.counters['tickets.not_accepted'] += 1
        return
    fleet.filed_ms[state.number] = fleet.now_ms
    if fleet.is_baseline:
        fleet.state = state
        for entry in fleet.entries:
            entries.feed(fleet, entry, inp.StateRead(state))


def _set_upstream(
    fleet: models.Fleet,
    upstream: ids.UpstreamId,
    condition: models.Condition,
    load_fault: models.LoadFault,
) -> None:
    if condition is models.Condition.DEAD:
        upstreams.kill(fleet, upstream)
    row = fleet.upstreams[upstream]
    fleet.upstreams[upstream] = row._replace(
        condition=condition, load_fault=load_fault
    )
