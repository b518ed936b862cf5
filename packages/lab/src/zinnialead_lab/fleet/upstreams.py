"""Play the upstreams: slots, short queues, shedding, cancellation."""

from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_lab.fleet import const
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import models
from zinnialead_lab.fleet import network


def dispatch(
    fleet: models.Fleet, entry: models.EntryRow, output: out.Dispatch
) -> None:
    """Send an attempt from an entry to an upstream."""
    call = models.CallId(entry.ref, output.request_id)
    known = fleet.calls[call]
    name = models.DispatchId(call, output.attempt)
    work = fleet.works[known.work_id]
    row = models.DispatchRow(
        name, output.upstream, work, known.key, output.deadline_ms
    )
    fleet.dispatches[name] = row
    fleet.counters['upstream.sent'] += 1
    fleet.sent_works.add(work.work_id)
    target = fleet.upstreams[output.upstream]
    away = not network.connected(fleet, entry.domain, target.known.domain)
    if away or target.condition is models.Condition.DEAD:
        failed = events.OutcomeArrives(name, verdict.NotSent(), work.work_id)
        pause_ms = const.CONNECT_TIMEOUT_MS if away else 1.0
        network.after(fleet, pause_ms, failed)
        return
    delay_ms = network.latency_ms(fleet, entry.domain, target.known.domain)
    pair = (entry.ref.entry, output.upstream)
    heard_ms = fleet.heard_ms.get(pair, float('-inf'))
    if fleet.now_ms - heard_ms > const.CONNECTION_TRUST_MS:
        fleet.silent.discard(pair)
        delay_ms += const.NEW_CONNECTION_MS
    if pair not in fleet.silent:
        network.after(fleet, delay_ms, events.DispatchArrives(row))


def cancel(
    fleet: models.Fleet, entry: models.EntryRow, output: out.CancelDispatch
) -> None:
    """Send a cancellation to the upstream of an attempt."""
    call = models.CallId(entry.ref, output.request_id)
    name = models.DispatchId(call, output.attempt)
    row = fleet.dispatches.get(name)
    if row is None:
        return
    network.after(fleet, const.CANCEL_TIMEOUT_MS, events.CancelTimeout(name))
    target = fleet.upstreams[row.upstream]
    pair = (entry.ref.entry, row.upstream)
    away = not network.connected(fleet, entry.domain, target.known.domain)
    if away or pair in fleet.silent:
        return
    delay_ms = network.latency_ms(fleet, entry.domain, target.known.domain)
    arrival = events.CancelArrives(name, row.upstream)
    network.after(fleet, delay_ms, arrival)


def serve(fleet: models.Fleet, row: models.DispatchRow) -> None:
    """Run an attempt, let it wait, or shed it."""
    target = fleet.upstreams[row.upstream]
    if target.condition is models.Condition.DEAD:
        return
    if len(target.running) < target.known.slots:
        _start(fleet, target, row)
        return
    if len(target.waiting) < const.UPSTREAM_QUEUE_MAX:
        target.waiting[row.dispatch] = row
        return
    fleet.counters['upstream.shed'] += 1
    _reply(fleet, row, verdict.Shed())


def withdraw(
    fleet: models.Fleet, name: models.DispatchId, upstream: ids.UpstreamId
) -> None:
    """Take a cancelled attempt out of the queue, or stop its run."""
    target = fleet.upstreams[upstream]
    row = fleet.dispatches.get(name)
    if row is None or target.condition is models.Condition.SILENT:
        return
    if target.waiting.pop(name, None) is not None:
        _reply(fleet, row, verdict.NeverStarted())
        return
    if name in target.running:
        _finish(fleet, target, row)
        _reply(fleet, row, verdict.Lost('cancelled'))


def end_run(fleet: models.Fleet, row: models.DispatchRow) -> None:
    """Answer a run that came to its end, and start the next one."""
    target = fleet.upstreams[row.upstream]
    if row.dispatch not in target.running:
        return
    _finish(fleet, target, row)
    if target.condition is models.Condition.SILENT:
        return
    record = str(row.work.work_id).encode()
    _reply(fleet, row, verdict.Answered(200, record))


def die(fleet: models.Fleet, upstream: ids.UpstreamId) -> None:
    """Kill an upstream: what it had is lost."""
    target = fleet.upstreams[upstream]
    lost = [*target.running, *target.waiting]
    for number in target.running.values():
        ended = fleet.runs[number]._replace(ended_ms=fleet.now_ms)
        fleet.runs[number] = ended
    target.running.clear()
    target.waiting.clear()
    for name in lost:
        row = fleet.dispatches.get(name)
        if row is not None:
            _reply(fleet, row, verdict.Lost('connection reset'))


def report(fleet: models.Fleet) -> None:
    """Let every upstream tell the entries of its domain its load."""
    for row in fleet.upstreams.values():
        item = _report(row)
        if item is None:
            continue
        for entry in fleet.entries.values():
            if entry.domain == row.known.domain:
                deliver = events.Deliver(entry.ref.entry, item)
                network.after(fleet, const.REPORT_LAG_MS, deliver)


def _report(row: models.UpstreamRow) -> inp.UpstreamReport | None:
    count = len(row.running) + len(row.waiting)
    match row.load_fault:
        case models.LoadFault.ABSENT:
            return None
        case models.LoadFault.ZERO:
            count = 0
        case models.LoadFault.FROZEN:
            count = row.told_in_flight[0]
    row.told_in_flight[0] = count
    healthy = row.condition is not models.Condition.DEAD
    leaving = row.condition is models.Condition.LEAVING
    return inp.UpstreamReport(row.known.upstream, healthy, count, leaving)


def _start(
    fleet: models.Fleet, target: models.UpstreamRow, row: models.DispatchRow
) -> None:
    if row.deadline_ms <= fleet.now_ms:
        _reply(fleet, row, verdict.Shed())
        return
    target.running[row.dispatch] = len(fleet.runs)
    fleet.runs.append(
        models.RunRow(
            row.work.work_id,
            row.key,
            row.upstream,
            row.dispatch.call.ref.entry,
            fleet.now_ms,
            None,
        )
    )
    demand_ms = row.work.demand_ms
    if fleet.now_ms < target.cold_until_ms:
        demand_ms *= const.COLD_FACTOR
    network.after(fleet, demand_ms, events.RunEnds(row))


def _finish(
    fleet: models.Fleet, target: models.UpstreamRow, row: models.DispatchRow
) -> None:
    number = target.running.pop(row.dispatch)
    ended = fleet.runs[number]._replace(ended_ms=fleet.now_ms)
    fleet.runs[number] = ended
    while target.waiting and len(target.running) < target.known.slots:
        name = next(iter(target.waiting))
        _start(fleet, target, target.waiting.pop(name))


def _reply(
    fleet: models.Fleet, row: models.DispatchRow, outcome: verdict.Outcome
) -> None:
    entry = fleet.entries[row.dispatch.call.ref.entry]
    target = fleet.upstreams[row.upstream]
    pair = (entry.ref.entry, row.upstream)
    away = not network.connected(fleet, entry.domain, target.known.domain)
    if away or pair in fleet.silent:
        return
    delay_ms = network.latency_ms(fleet, entry.domain, target.known.domain)
    arrival = events.OutcomeArrives(row.dispatch, outcome, row.work.work_id)
    network.after(fleet, delay_ms, arrival)
