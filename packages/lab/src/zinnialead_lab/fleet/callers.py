"""Simulate the callers: look-ups, calls and retries at other entries."""

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

# The entry can't accept the work or the key; another entry may.
RETRY_ELSEWHERE_REASONS = frozenset(
    {
        verdict.Reason.STOPPING,
        verdict.Reason.NOT_READY,
        verdict.Reason.KEY_BARRED,
        verdict.Reason.KEY_REGISTRAR_DOWN,
    }
)


def start_work(fleet: models.Fleet, work: models.Work) -> None:
    """Start a piece of work with a cached or a new look-up."""
    answer, delay_ms = _look_up(fleet, work)
    row = models.CallerRow(work, answer, 0, None, False)
    fleet.works[work.work_id] = work
    fleet.callers[work.work_id] = row
    timeout_ms = work.deadline_ms + const.CALLER_GRACE_MS
    network.schedule_at(fleet, timeout_ms, events.CallerTimeout(work.work_id))
    _assign_key(fleet, work.work_id)
    _call(fleet, work.work_id, delay_ms)


def accept_call(
    fleet: models.Fleet, event: events.CallArrives
) -> inp.Input | None:
    """Return the request input of a call, or None if it is not accepted."""
    row = fleet.callers.get(event.work_id)
    entry = fleet.entries[event.entry]
    if row is None:
        return None
    if entry.process_state in (
        models.ProcessState.DEAD,
        models.ProcessState.STOPPED,
    ):
        failed = events.CallFails(event.work_id, event.attempt, sent=False)
        network.schedule_after(fleet, const.CALLER_LATENCY_MS, failed)
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


def send_answer(
    fleet: models.Fleet,
    entry: models.EntryRow,
    output: out.Relay | out.Replay | out.Refuse,
) -> None:
    """Send an entry's answer or refusal to its caller."""
    call = models.CallId(entry.ref, output.request_id)
    call_row = fleet.calls.pop(call)
    reported_verdict, reason, is_own_answer = verdict.Verdict.RAN, '', True
    match output:
        case out.Relay(_, attempt):
            dispatch_id = models.DispatchId(call, attempt)
            is_own_answer = (
                fleet.answered_work_ids.pop(dispatch_id, None)
                == call_row.work_id
            )
        case out.Replay(_, _, record):
            is_own_answer = record == str(call_row.work_id).encode()
        case out.Refuse(_, refusal):
            reported_verdict, reason = refusal.verdict, refusal.reason.value
    end = events.CallEnds(
        call_row.work_id,
        call_row.attempt,
        reported_verdict,
        reason,
        is_own_answer,
    )
    work = fleet.works[call_row.work_id]
    if network.connected(fleet, work.domain, entry.domain):
        network.schedule_after(fleet, _latency_ms(fleet, work, entry), end)


def handle_failure(fleet: models.Fleet, event: events.CallFails) -> None:
    """Retry elsewhere after a failed connection; sent work keeps its key."""
    row = fleet.callers.get(event.work_id)
    if row is None or row.attempt != event.attempt:
        return
    fleet.cached_look_ups.pop(_caller_name(row.work), None)
    if event.sent:
        fleet.callers[event.work_id] = row._replace(may_have_run=True)
        fleet.counters['caller.connection_lost'] += 1
    reason = 'connection lost' if event.sent else 'no connection'
    _retry(fleet, row.work.work_id, verdict.Verdict.MAY_HAVE_RUN, reason)


def handle_end(fleet: models.Fleet, event: events.CallEnds) -> None:
    """Complete the work, or retry it elsewhere if the entry refused it."""
    row = fleet.callers.get(event.work_id)
    if row is None or row.attempt != event.attempt:
        return
    if event.reason == verdict.Reason.KEY_BARRED:
        # Nothing ran under a barred key, even if an earlier call was lost.
        row = row._replace(may_have_run=False)
        fleet.callers[event.work_id] = row
    if event.reason in RETRY_ELSEWHERE_REASONS:
        if event.verdict is verdict.Verdict.MAY_HAVE_RUN:
            # From here on the caller must retry with the same key.
            row = row._replace(may_have_run=True)
            fleet.callers[event.work_id] = row
        _retry_elsewhere(fleet, row, event)
        return
    if event.verdict is verdict.Verdict.NOT_RUN:
        row = row._replace(may_have_run=False)
    _complete(fleet, row, event.verdict, event.reason, event.is_own_answer)


def time_out(fleet: models.Fleet, work_id: models.WorkId) -> None:
    """Complete the work of a caller that got no answer in time."""
    row = fleet.callers.get(work_id)
    if row is not None:
        _give_up(fleet, row, verdict.Verdict.MAY_HAVE_RUN, 'no answer')


def _retry_elsewhere(
    fleet: models.Fleet, row: models.CallerRow, event: events.CallEnds
) -> None:
    # Unless the key is barred, the entry did not check it: an earlier call
    # whose connection was lost may still have run, so the key stays.
    reported_verdict = event.verdict
    if row.may_have_run:
        reported_verdict = verdict.Verdict.MAY_HAVE_RUN
    fleet.cached_look_ups.pop(_caller_name(row.work), None)
    _retry(fleet, event.work_id, reported_verdict, event.reason)


def _caller_name(work: models.Work) -> models.CallerName:
    number = work.work_id % const.CALLERS_PER_DOMAIN
    return models.CallerName(work.domain, number)


def _look_up(fleet: models.Fleet, work: models.Work) -> models.LookUpResult:
    caller = _caller_name(work)
    cached = fleet.cached_look_ups.get(caller)
    if cached is not None and cached.expires_ms > fleet.now_ms:
        return models.LookUpResult(cached.answer, 0.0)
    usable = [
        row
        for row in fleet.entries.values()
        if row.process_state is models.ProcessState.RUNNING
        and network.connected(fleet, work.domain, row.domain)
    ]
    same_domain = [row for row in usable if row.domain == work.domain]
    answer = lookups.LookUpAnswer((), 0.0)
    if not usable:
        return models.LookUpResult(answer, 0.0)
    chosen = fleet.random.choice(same_domain or usable)
    match chosen.policy:
        case models.CorePolicy(world):
            query = lookups.LookUp(work.service, work.rank, work.domain, None)
            answer = look_ups.look_up(world, fleet.now_ms, query)
        case models.BaselinePolicy():
            answer = _random_choices(fleet)
    expires_ms = fleet.now_ms + answer.lifetime_ms
    fleet.cached_look_ups[caller] = models.CachedLookUp(answer, expires_ms)
    return models.LookUpResult(answer, 2 * _latency_ms(fleet, work, chosen))


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
    return const.CALLER_LATENCY_MS + between_ms - const.INTRA_REGION_LATENCY_MS


def _assign_key(fleet: models.Fleet, work_id: models.WorkId) -> None:
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
        network.schedule_after(fleet, const.CONNECT_TIMEOUT_MS, failed)
        return
    arrival = events.CallArrives(work_id, row.attempt, chosen.entry)
    delay_ms += _latency_ms(fleet, row.work, entry)
    network.schedule_after(fleet, delay_ms, arrival)


def _retry(
    fleet: models.Fleet,
    work_id: models.WorkId,
    reported_verdict: verdict.Verdict,
    reason: str,
) -> None:
    row = fleet.callers[work_id]
    deadline_passed = fleet.now_ms >= row.work.deadline_ms
    if deadline_passed or row.attempt + 1 >= const.CALLER_ATTEMPTS_MAX:
        _give_up(fleet, row, reported_verdict, reason)
        return
    fleet.callers[work_id] = row._replace(attempt=row.attempt + 1)
    if not row.may_have_run:
        _assign_key(fleet, work_id)
    _call(fleet, work_id)


def _give_up(
    fleet: models.Fleet,
    row: models.CallerRow,
    reported_verdict: verdict.Verdict,
    reason: str,
) -> None:
    if reason == 'no connection' and not row.may_have_run:
        reported_verdict = verdict.Verdict.NOT_RUN
    _complete(fleet, row, reported_verdict, reason, is_own_answer=True)


def _complete(
    fleet: models.Fleet,
    row: models.CallerRow,
    reported_verdict: verdict.Verdict,
    reason: str,
    is_own_answer: bool,
) -> None:
    del fleet.callers[row.work.work_id]
    fleet.completions.append(
        models.CompletionRow(
            row.work,
            reported_verdict,
            reason,
            fleet.now_ms,
            is_own_answer,
            row.may_have_run,
        )
    )
