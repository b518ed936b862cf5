"""Do to a fleet what the world may do to it."""

from zinnialead_core import ids
from zinnialead_lab import fleet as fleets
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import network
from zinnialead_lab.fuzz import const
from zinnialead_lab.fuzz import deployment
from zinnialead_lab.fuzz import models


def start(seed: int) -> models.Run:
    """Return a run over a fleet whose members know each other."""
    state = deployment.state()
    fleet = fleets.new_fleet(state, const.ENTRIES_PER_DOMAIN, seed)
    fleets.run_until(fleet, 3_000.0)
    return models.new_run(fleet)


def entry(run: models.Run, pick: int) -> ids.EntryId:
    """Return one of the entries."""
    names = list(run.fleet.entries)
    return names[pick % len(names)]


def upstream(run: models.Run, pick: int) -> ids.UpstreamId:
    """Return one of the upstreams."""
    names = list(run.fleet.upstreams)
    return names[pick % len(names)]


def work(
    run: models.Run, pick: int, demand_ms: float, deadline_ms: float
) -> fleets.WorkId:
    """Let a caller start one piece of work now."""
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


def copy(run: models.Run, pick: int) -> None:
    """Send a caller's request to another entry as well, with its key."""
    callers = [x for x in run.fleet.callers.values() if x.key is not None]
    if not callers:
        return
    caller = callers[pick % len(callers)]
    # The caller knows of the copy, so it stays with the key.
    caller = caller._replace(may_have_run=True)
    run.fleet.callers[caller.work.work_id] = caller
    run.copied.add(caller.work.work_id)
    run.asked.append(caller)
    arrival = events.CallArrives(
        caller.work.work_id, caller.attempt, entry(run, pick // 7)
    )
    network.after(run.fleet, float(pick % 5), arrival)


def ask_again(run: models.Run, pick: int, deadline_ms: float) -> None:
    """Let a caller whose work is over ask for it again, with its key."""
    if not run.asked:
        return
    caller = run.asked[-1 - pick % min(4, len(run.asked))]
    work = caller.work._replace(deadline_ms=run.fleet.now_ms + deadline_ms)
    if work.work_id in run.fleet.callers:
        return
    run.fleet.callers[work.work_id] = caller._replace(
        work=work, may_have_run=True
    )
    arrival = events.CallArrives(
        work.work_id, caller.attempt, entry(run, pick // 7)
    )
    network.after(run.fleet, 1.0, arrival)
    network.at(run.fleet, work.deadline_ms, events.CallerLeaves(work.work_id))


def advance(run: models.Run, elapsed_ms: float) -> None:
    """Let time pass."""
    fleets.run_until(run.fleet, run.fleet.now_ms + elapsed_ms)


def file(run: models.Run, picked: frozenset[int]) -> int:
    """File the next ticket, and return its number if the store took it."""
    fleet = run.fleet
    last = max(run.states)
    state = run.states[last]._replace(
        number=last + 1, drains=deployment.drains(picked)
    )
    fleets.inject(fleet, fleets.FileTicket(state))
    if last + 1 not in fleet.filed_ms:
        return last
    run.states[last + 1] = state
    return last + 1


def set_upstream(
    run: models.Run,
    name: ids.UpstreamId,
    condition: fleets.Condition,
    load_fault: fleets.LoadFault,
) -> None:
    """Set what is wrong with an upstream."""
    run.leaving.pop(name, None)
    if (
        condition is fleets.Condition.LEAVING
        and load_fault is not fleets.LoadFault.ABSENT
    ):
        run.leaving[name] = run.fleet.now_ms
    fleets.inject(run.fleet, fleets.SetUpstream(name, condition, load_fault))


def heal(run: models.Run) -> None:
    """End every fault, and restart what is dead or stopped."""
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
