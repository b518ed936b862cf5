"""Apply the actions of the fuzzing rules to a fleet."""

from zinnialead_core import ids
from zinnialead_lab import fleet as fleets
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import network
from zinnialead_lab.fuzz import const
from zinnialead_lab.fuzz import deployment
from zinnialead_lab.fuzz import models


def start(seed: int) -> models.Run:
    """Return a run over a fleet whose membership has converged."""
    state = deployment.initial_state()
    fleet = fleets.new_fleet(state, const.ENTRIES_PER_DOMAIN, seed)
    fleets.run_until(fleet, 3_000.0)
    return models.new_run(fleet)


def select_entry(run: models.Run, pick: int) -> ids.EntryId:
    """Return the entry that a drawn number selects."""
    names = list(run.fleet.entries)
    return names[pick % len(names)]


def select_upstream(run: models.Run, pick: int) -> ids.UpstreamId:
    """Return the upstream that a drawn number selects."""
    names = list(run.fleet.upstreams)
    return names[pick % len(names)]


def start_work(
    run: models.Run, pick: int, demand_ms: float, deadline_ms: float
) -> fleets.WorkId:
    """Start a piece of work at a caller now."""
    fleet = run.fleet
    fleet.sequence += 1
    work_id = fleets.WorkId(fleet.sequence)
    service = deployment.SERVICES[pick % 2]
    row = fleets.Work(
        work_id=work_id,
        arrived_ms=fleet.now_ms,
        service=service,
        rank=deployment.RANKS[pick // 2 % 3],
        domain=deployment.DOMAINS[pick // 6 % 4],
        demand_ms=demand_ms,
        deadline_ms=fleet.now_ms + deadline_ms,
        keyed=service == deployment.PAYOUTS,
        free_key=pick // 24 % 3 == 0,
    )
    fleets.add_work(fleet, [row])
    return work_id


def duplicate_call(run: models.Run, pick: int) -> None:
    """Send a caller's request, with its key, to a second entry."""
    callers = [x for x in run.fleet.callers.values() if x.key is not None]
    if not callers:
        return
    caller = callers[pick % len(callers)]
    # The copy may run, so the caller has to keep the key.
    caller = caller._replace(may_have_run=True)
    run.fleet.callers[caller.work.work_id] = caller
    run.duplicated.add(caller.work.work_id)
    run.duplicated_calls.append(caller)
    arrival = events.CallArrives(
        caller.work.work_id, caller.attempt, select_entry(run, pick // 7)
    )
    network.schedule_after(run.fleet, float(pick % 5), arrival)


def retry_call(run: models.Run, pick: int, deadline_ms: float) -> None:
    """Retry a duplicated call with its key once its work is complete."""
    if not run.duplicated_calls:
        return
    caller = run.duplicated_calls[
        -1 - pick % min(4, len(run.duplicated_calls))
    ]
    work = caller.work._replace(deadline_ms=run.fleet.now_ms + deadline_ms)
    if work.work_id in run.fleet.callers:
        return
    run.fleet.callers[work.work_id] = caller._replace(
        work=work, may_have_run=True
    )
    arrival = events.CallArrives(
        work.work_id, caller.attempt, select_entry(run, pick // 7)
    )
    network.schedule_after(run.fleet, 1.0, arrival)
    network.schedule_at(
        run.fleet, work.deadline_ms, events.CallerTimeout(work.work_id)
    )


def advance(run: models.Run, elapsed_ms: float) -> None:
    """Advance the clock of the fleet."""
    fleets.run_until(run.fleet, run.fleet.now_ms + elapsed_ms)


def file_ticket(run: models.Run, drain_picks: frozenset[int]) -> int:
    """File the next ticket and return the number of the latest one."""
    fleet = run.fleet
    last_number = max(run.states)
    state = run.states[last_number]._replace(
        number=last_number + 1, drains=deployment.select_drains(drain_picks)
    )
    fleets.inject(fleet, fleets.FileTicket(state))
    if last_number + 1 not in fleet.filed_ms:
        return last_number
    run.states[last_number + 1] = state
    return last_number + 1


def set_upstream(
    run: models.Run,
    name: ids.UpstreamId,
    condition: fleets.Condition,
    load_fault: fleets.LoadFault,
) -> None:
    """Set the condition and the load fault of an upstream."""
    run.leaving_since_ms.pop(name, None)
    if (
        condition is fleets.Condition.LEAVING
        and load_fault is not fleets.LoadFault.ABSENT
    ):
        run.leaving_since_ms[name] = run.fleet.now_ms
    fleets.inject(run.fleet, fleets.SetUpstream(name, condition, load_fault))


def clear_faults(run: models.Run) -> None:
    """Clear every fault and restart dead and stopped entries."""
    fleet = run.fleet
    fleets.inject(fleet, fleets.SetNetwork(fleets.NetworkRow()))
    fleets.inject(fleet, fleets.SetStore())
    for name in fleet.upstreams:
        set_upstream(run, name, fleets.Condition.WELL, fleets.LoadFault.NONE)
    for row in list(fleet.entries.values()):
        match row.process_state:
            case fleets.ProcessState.PAUSED:
                fleets.inject(fleet, fleets.Resume(row.ref.entry))
            case fleets.ProcessState.DEAD | fleets.ProcessState.STOPPED:
                fleets.inject(fleet, fleets.Restart(row.ref.entry))
            case fleets.ProcessState.RUNNING:
                pass
