"""Play the callers: look up, keep the answer, ask, move on."""

from zinnialead_core.components import lookups
from zinnialead_core.components.lookups import coordinator as look_ups
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_lab.fleet import const
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import models
from zinnialead_lab.fleet import network

# The entry, or the key, can't take work; the next choice may.
ELSEWHERE = frozenset(
    {
        verdict.Reason.STOPPING,
        verdict.Reason.NOT_READY,
        verdict.Reason.KEY_BARRED,
        verdict.Reason.KEY_REGISTRAR_DOWN,
    }
)


def start(fleet: models.Fleet, work: models.Work) -> None:
    """Begin one piece of work: use the kept answer or look up."""
    answer, delay_ms = _choices(fleet, work)
    row = models.CallerRow(work, answer, 0, None, False)
    fleet.works[work.work_id] = work
    fleet.callers[work.work_id] = row
    leave_ms = work.deadline_ms + const.CALLER_PATIENCE_MS
    network.at(fleet, leave_ms, events.CallerLeaves(work.work_id))
    _new_key(fleet, work.work_id)
    _call(fleet, work.work_id, delay_ms)


def arrive(fleet: models.Fleet, event: events.CallArrives) -> inp.Input | None:
    """Return the request that a call brings to its entry."""
    row = fleet.callers.get(event.work_id)
    entry = fleet.entries[event.entry]
    if row is None:
        return None
    if entry.process_state in (
        models.ProcessState.DEAD,
        models.ProcessState.STOPPED,
    ):
        failed = events.CallFails(event.work_id, event.attempt, sent=False)
        network.after(fleet, const.CALLER_LATENCY_MS, failed)
        return None
    fleet.sequence += 1
    request_id = ids.RequestId(fleet.sequence)
    call = models.CallId(entry.ref, request_id)
    fleet.calls[call] = models.CallRow(event.work_id, event.attempt, row.key)
    work = row.work
    created_ms = work.arrived_ms if row.key is not None else None
    return inp.RequestArrived(
        request_id=request_id,
        service=work.service,
        rank=work.rank,
        deadline_ms=work.deadline_ms,
        key=row.key,
        key_created_ms=created_ms,
    )


def answer(
    fleet: models.Fleet,
    entry: models.EntryRow,
    output: out.Relay | out.Replay | out.Refuse,
) -> None:
    """Send an entry's answer or refusal to the caller."""
    call = models.CallId(entry.ref, output.request_id)
    known = fleet.calls.pop(call)
    said, reason, is_own_answer = verdict.Verdict.RAN, '', True
    match output:
        case out.Relay(_, attempt):
            name = models.DispatchId(call, attempt)
            is_own_answer = fleet.answers.pop(name, None) == known.work_id
        case out.Replay(_, _, record):
            is_own_answer = record == str(known.work_id).encode()
        case out.Refuse(_, refusal):
            said, reason = refusal.verdict, refusal.reason.value
    end = events.CallEnds(
        known.work_id, known.attempt, said, reason, is_own_answer
    )
    work = fleet.works[known.work_id]
    if network.connected(fleet, work.domain, entry.domain):
        network.after(fleet, _latency_ms(fleet, work, entry), end)


def failed(fleet: models.Fleet, event: events.CallFails) -> None:
    """Move on from a dead entry; the same key asks about sent work."""
    row = fleet.callers.get(event.work_id)
    if row is None or row.attempt != event.attempt:
        return
    fleet.look_ups.pop(_name(row.work), None)
    if event.sent:
        fleet.callers[event.work_id] = row._replace(may_have_run=True)
        fleet.counters['caller.connection_lost'] += 1
    reason = 'connection lost' if event.sent else 'no connection'
    _move_on(fleet, row.work.work_id, verdict.Verdict.MAY_HAVE_RUN, reason)


def ended(fleet: models.Fleet, event: events.CallEnds) -> None:
    """Take an entry's answer, or try another entry after a not-run."""
    row = fleet.callers.get(event.work_id)
    if row is None or row.attempt != event.attempt:
        return
    if event.reason == verdict.Reason.KEY_BARRED:
        # Nothing ran under the key, whatever call was lost before.
        row = row._replace(may_have_run=False)
        fleet.callers[event.work_id] = row
    if event.reason in ELSEWHERE:
        if event.verdict is verdict.Verdict.MAY_HAVE_RUN:
            # Only the same key may be asked for from here on.
            row = row._replace(may_have_run=True)
            fleet.callers[event.work_id] = row
        _elsewhere(fleet, row, event)
        return
    if event.verdict is verdict.Verdict.NOT_RUN:
        row = row._replace(may_have_run=False)
    _end(fleet, row, event.verdict, event.reason, event.is_own_answer)


def leave(fleet: models.Fleet, work_id: models.WorkId) -> None:
    """End the patience of a caller that has no answer."""
    row = fleet.callers.get(work_id)
    if row is not None:
        _give_up(fleet, row, verdict.Verdict.MAY_HAVE_RUN, 'no answer')


def _elsewhere(
    fleet: models.Fleet, row: models.CallerRow, event: events.CallEnds
) -> None:
    # Such an entry did not look at the key: an earlier call whose
    # connection was lost stays open, and so does its key.
    said = event.verdict
    if row.may_have_run:
        said = verdict.Verdict.MAY_HAVE_RUN
    fleet.look_ups.pop(_name(row.work), None)
    _move_on(fleet, event.work_id, said, event.reason)


def _name(work: models.Work) -> models.CallerName:
    number = work.work_id % const.CALLERS_PER_DOMAIN
    return models.CallerName(work.domain, number)


def _choices(fleet: models.Fleet, work: models.Work) -> models.LookedUp:
    name = _name(work)
    kept = fleet.look_ups.get(name)
    if kept is not None and kept.expires_ms > fleet.now_ms:
        return models.LookedUp(kept.answer, 0.0)
    usable = [
        row
        for row in fleet.entries.values()
        if row.process_state is models.ProcessState.RUNNING
        and network.connected(fleet, work.domain, row.domain)
    ]
    near = [row for row in usable if row.domain == work.domain]
    answer = lookups.LookUpAnswer((), 0.0)
    if not usable:
        return models.LookedUp(answer, 0.0)
    chosen = fleet.random.choice(near or usable)
    match chosen.policy:
        case models.Core(world):
            question = lookups.LookUp(
                work.service, work.rank, work.domain, None
            )
            answer = look_ups.look_up(world, fleet.now_ms, question)
        case models.Plain():
            answer = _random_choices(fleet)
    expires_ms = fleet.now_ms + answer.lifetime_ms
    fleet.look_ups[name] = models.CachedLookUp(answer, expires_ms)
    return models.LookedUp(answer, 2 * _latency_ms(fleet, work, chosen))


def _random_choices(fleet: models.Fleet) -> lookups.LookUpAnswer:
    rows = fleet.random.sample(sorted(fleet.entries.items()), k=4)
    choices = tuple(
        lookups.Choice(entry, row.domain, entry, 'plain')
        for entry, row in rows
    )
    return lookups.LookUpAnswer(choices, 0.0)


def _latency_ms(
    fleet: models.Fleet, work: models.Work, entry: models.EntryRow
) -> float:
    between_ms = network.latency_ms(fleet, work.domain, entry.domain)
    return const.CALLER_LATENCY_MS + between_ms - const.DOMAIN_LATENCY_MS


def _new_key(fleet: models.Fleet, work_id: models.WorkId) -> None:
    row = fleet.callers[work_id]
    choices = row.answer.choices
    if not row.work.keyed or not choices:
        return
    prefix = choices[row.attempt % len(choices)].key_prefix
    if row.work.free_key:
        prefix = 'free'
    key = ids.Key(f'{prefix}.{work_id}-{row.attempt}')
    fleet.callers[work_id] = row._replace(key=key)


def _call(
    fleet: models.Fleet, work_id: models.WorkId, delay_ms: float = 0.0
) -> None:
    row = fleet.callers[work_id]
    choices = row.answer.choices
    if not choices:
        _give_up(fleet, row, verdict.Verdict.NOT_RUN, 'no entry')
        return
    chosen = choices[row.attempt % len(choices)]
    entry = fleet.entries[chosen.entry]
    if not network.connected(fleet, row.work.domain, entry.domain):
        failed = events.CallFails(work_id, row.attempt, sent=False)
        network.after(fleet, const.CONNECT_TIMEOUT_MS, failed)
        return
    arrival = events.CallArrives(work_id, row.attempt, chosen.entry)
    delay_ms += _latency_ms(fleet, row.work, entry)
    network.after(fleet, delay_ms, arrival)


def _move_on(
    fleet: models.Fleet,
    work_id: models.WorkId,
    said: verdict.Verdict,
    reason: str,
) -> None:
    row = fleet.callers[work_id]
    over = fleet.now_ms >= row.work.deadline_ms
    if over or row.attempt + 1 >= const.CALLER_ATTEMPTS_MAX:
        _give_up(fleet, row, said, reason)
        return
    fleet.callers[work_id] = row._replace(attempt=row.attempt + 1)
    if not row.may_have_run:
        _new_key(fleet, work_id)
    _call(fleet, work_id)


def _give_up(
    fleet: models.Fleet,
    row: models.CallerRow,
    said: verdict.Verdict,
    reason: str,
) -> None:
    if reason == 'no connection' and not row.may_have_run:
        said = verdict.Verdict.NOT_RUN
    _end(fleet, row, said, reason, is_own_answer=True)


def _end(
    fleet: models.Fleet,
    row: models.CallerRow,
    said: verdict.Verdict,
    reason: str,
    is_own_answer: bool,
) -> None:
    del fleet.callers[row.work.work_id]
    fleet.completions.append(
        models.CompletionRow(
            row.work,
            said,
            reason,
            fleet.now_ms,
            is_own_answer,
            row.may_have_run,
        )
    )
