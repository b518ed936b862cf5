"""Decide the plain way: the baseline that benches compare with."""

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


def new_table(seed: int) -> models.PlainTable:
    """Return the table of an entry that has no state yet."""
    return models.PlainTable({}, {}, [], random.Random(seed))


def tick(
    table: models.PlainTable, now_ms: float, inputs: abc.Iterable[inp.Input]
) -> abc.Iterator[out.Output]:
    """Yield what the plain way does about inputs and timeouts."""
    while table.due and table.due[0][0] <= now_ms:
        _, request_id, attempt = heapq.heappop(table.due)
        yield from _timeout(table, now_ms, request_id, attempt)
    for item in inputs:
        match item:
            case inp.StateRead(state):
                table.states['in-force'] = state
            case inp.RequestArrived(request_id):
                left_ms = item.deadline_ms - now_ms
                timeout_ms = left_ms / const.PLAIN_ATTEMPTS_MAX
                row = models.PlainRow(item, 0, timeout_ms, False)
                table.rows[request_id] = row
                yield from _try(table, now_ms, row)
            case inp.DispatchDone(request_id, attempt, outcome):
                yield from _done(table, now_ms, request_id, attempt, outcome)
            case inp.StopRequested():
                yield out.Stopped()


def next_due_ms(table: models.PlainTable) -> float | None:
    """Return when the next timeout is due."""
    return table.due[0][0] if table.due else None


def _try(
    table: models.PlainTable, now_ms: float, row: models.PlainRow
) -> abc.Iterator[out.Output]:
    item = row.item
    state = table.states['in-force']
    service = state.services[item.service]
    usable = [
        x
        for x in state.upstreams.values()
        if x.service == item.service and not _drained(state, x)
    ]
    chosen = table.random.choice(usable)
    row = row._replace(attempt=row.attempt + 1)
    table.rows[item.request_id] = row
    due_ms = now_ms + row.timeout_ms
    heapq.heappush(table.due, (due_ms, item.request_id, row.attempt))
    yield out.Dispatch(
        item.request_id,
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


def _timeout(
    table: models.PlainTable,
    now_ms: float,
    request_id: ids.RequestId,
    attempt: int,
) -> abc.Iterator[out.Output]:
    row = table.rows.get(request_id)
    if row is None or row.attempt != attempt:
        return
    yield out.CancelDispatch(request_id, attempt)
    yield from _again(table, now_ms, row._replace(may_have_run=True))


def _done(
    table: models.PlainTable,
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
            yield from _again(table, now_ms, lost)
        case _:
            yield from _again(table, now_ms, row)


def _again(
    table: models.PlainTable, now_ms: float, row: models.PlainRow
) -> abc.Iterator[out.Output]:
    if row.attempt < const.PLAIN_ATTEMPTS_MAX:
        yield from _try(table, now_ms, row)
        return
    del table.rows[row.item.request_id]
    known = verdict.Verdict.NOT_RUN
    if row.may_have_run:
        known = verdict.Verdict.MAY_HAVE_RUN
    refusal = verdict.Refusal(
        known, verdict.Reason.UPSTREAM_LOST, 'no attempt was answered'
    )
    yield out.Refuse(row.item.request_id, refusal)
