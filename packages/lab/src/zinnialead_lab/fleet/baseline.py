"""Implement the baseline policy that the benches compare with.

Each attempt goes to a random upstream and has a timeout of its own.
"""

from collections import abc
import heapq
import random

from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_lab.fleet import const
from zinnialead_lab.fleet import models


def new_table(seed: int) -> models.BaselineTable:
    """Return the table of a baseline entry without a state."""
    return models.BaselineTable({}, {}, [], random.Random(seed))


def tick(
    table: models.BaselineTable, now_ms: float, inputs: abc.Iterable[inp.Input]
) -> abc.Iterator[out.Output]:
    """Yield the outputs for due timeouts and new inputs."""
    while table.due and table.due[0][0] <= now_ms:
        _, request_id, attempt = heapq.heappop(table.due)
        yield from _time_out_attempt(table, now_ms, request_id, attempt)
    for entry_input in inputs:
        match entry_input:
            case inp.StateRead(state):
                table.states['in-force'] = state
            case inp.RequestArrived(request_id):
                remaining_ms = entry_input.deadline_ms - now_ms
                timeout_ms = remaining_ms / const.BASELINE_ATTEMPTS_MAX
                row = models.BaselineRequestRow(
                    entry_input, 0, timeout_ms, False
                )
                table.rows[request_id] = row
                yield from _send_attempt(table, now_ms, row)
            case inp.DispatchDone(request_id, attempt, outcome):
                yield from _finish_attempt(
                    table, now_ms, request_id, attempt, outcome
                )
            case inp.StopRequested():
                yield out.Stopped()


def next_due_ms(table: models.BaselineTable) -> float | None:
    """Return when the next timeout is due, or None without one."""
    return table.due[0][0] if table.due else None


def _send_attempt(
    table: models.BaselineTable, now_ms: float, row: models.BaselineRequestRow
) -> abc.Iterator[out.Output]:
    request = row.request
    state = table.states['in-force']
    service = state.services[request.service]
    usable = [
        x
        for x in state.upstreams.values()
        if x.service == request.service and not _drained(state, x)
    ]
    chosen = table.random.choice(usable)
    row = row._replace(attempt=row.attempt + 1)
    table.rows[request.request_id] = row
    due_ms = now_ms + row.timeout_ms
    heapq.heappush(table.due, (due_ms, request.request_id, row.attempt))
    yield out.Dispatch(
        request.request_id,
        row.attempt,
        chosen.upstream,
        chosen.address,
        due_ms,
        service.idempotent,
    )


def _drained(state: tickets.State, row: tickets.UpstreamRow) -> bool:
    region = state.domains[row.domain].region
    drained: set[tickets.Drain] = {
        tickets.UpstreamDrain(row.upstream),
        tickets.DomainDrain(row.domain),
        tickets.RegionDrain(region),
    }
    return any(drain in drained for drain in state.drains.values())


def _time_out_attempt(
    table: models.BaselineTable,
    now_ms: float,
    request_id: ids.RequestId,
    attempt: int,
) -> abc.Iterator[out.Output]:
    row = table.rows.get(request_id)
    if row is None or row.attempt != attempt:
        return
    yield out.CancelDispatch(request_id, attempt)
    yield from _retry(table, now_ms, row._replace(may_have_run=True))


def _finish_attempt(
    table: models.BaselineTable,
    now_ms: float,
    request_id: ids.RequestId,
    attempt: int,
    outcome: verdict.Outcome,
) -> abc.Iterator[out.Output]:
    row = table.rows.get(request_id)
    if row is None or row.attempt != attempt:
        return
    match outcome:
        case verdict.Answered():
            del table.rows[request_id]
            yield out.Relay(request_id, attempt)
        case verdict.Lost():
            lost = row._replace(may_have_run=True)
            yield from _retry(table, now_ms, lost)
        case _:
            yield from _retry(table, now_ms, row)


def _retry(
    table: models.BaselineTable, now_ms: float, row: models.BaselineRequestRow
) -> abc.Iterator[out.Output]:
    if row.attempt < const.BASELINE_ATTEMPTS_MAX:
        yield from _send_attempt(table, now_ms, row)
        return
    del table.rows[row.request.request_id]
    final_verdict = verdict.Verdict.NOT_RUN
    if row.may_have_run:
        final_verdict = verdict.Verdict.MAY_HAVE_RUN
    refusal = verdict.Refusal(
        final_verdict, verdict.Reason.UPSTREAM_LOST, 'no attempt was answered'
    )
    yield out.Refuse(row.request.request_id, refusal)
