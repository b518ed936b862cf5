"""Simulate the upstreams: slots, queues, shedding and cancellation."""

from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_lab.fleet import const
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import models
from zinnialead_lab.fleet import network


def send_attempt(
    fleet: models.Fleet, entry: models.EntryRow, output: out.Dispatch
) -> None:
    """Send an attempt from an entry to its upstream."""
    call = models.CallId(entry.ref, output.request_id)
    call_row = fleet.calls[call]
    dispatch_id = models.DispatchId(call, output.attempt)
    work = fleet.works[call_row.work_id]
    row = models.DispatchRow(
        dispatch_id, output.upstream, work, call_row.key, output.deadline_ms
    )
    fleet.dispatches[dispatch_id] = row
    fleet.counters['upstream.sent'] += 1
    fleet.sent_works.add(work.work_id)
    target = fleet.upstreams[output.upstream]
    unreachable = not network.connected(
        fleet, entry.domain, target.config.domain
    )
    if unreachable or target.condition is models.Condition.DEAD:
        outcome_arrival = events.OutcomeArrives(
            dispatch_id, verdict.NotSent(), work.work_id
        )
        failure_delay_ms = const.CONNECT_TIMEOUT_MS if unreachable else 1.0
        network.schedule_after(fleet, failure_delay_ms, outcome_arrival)
        return
    delay_ms = network.latency_ms(fleet, entry.domain, target.config.domain)
    connection = (entry.ref.entry, output.upstream)
    last_outcome_ms = fleet.last_outcome_ms.get(connection, float('-inf'))
    if fleet.now_ms - last_outcome_ms > const.CONNECTION_IDLE_MAX_MS:
        fleet.silent_connections.discard(connection)
        delay_ms += const.NEW_CONNECTION_MS
    if connection not in fleet.silent_connections:
        network.schedule_after(fleet, delay_ms, events.DispatchArrives(row))


def send_cancel(
    fleet: models.Fleet, entry: models.EntryRow, output: out.CancelDispatch
) -> None:
    """Send a cancellation to the upstream of an attempt."""
    call = models.CallId(entry.ref, output.request_id)
    dispatch_id = models.DispatchId(call, output.attempt)
    row = fleet.dispatches.get(dispatch_id)
    if row is None:
        return
    network.schedule_after(
        fleet, const.CANCEL_TIMEOUT_MS, events.CancelTimeout(dispatch_id)
    )
    target = fleet.upstreams[row.upstream]
    connection = (entry.ref.entry, row.upstream)
    unreachable = not network.connected(
        fleet, entry.domain, target.config.domain
    )
    if unreachable or connection in fleet.silent_connections:
        return
    delay_ms = network.latency_ms(fleet, entry.domain, target.config.domain)
    arrival = events.CancelArrives(dispatch_id, row.upstream)
    network.schedule_after(fleet, delay_ms, arrival)


def receive_attempt(fleet: models.Fleet, row: models.DispatchRow) -> None:
    """Run an attempt, queue it, or shed it if the queue is full."""
    target = fleet.upstreams[row.upstream]
    if target.condition is models.Condition.DEAD:
        return
    if len(target.running) < target.config.slots:
        _start_run(fleet, target, row)
        return
    if len(target.queue) < const.UPSTREAM_QUEUE_MAX:
        target.queue[row.dispatch] = row
        return
    fleet.counters['upstream.shed'] += 1
    _reply(fleet, row, verdict.Shed())


def receive_cancel(
    fleet: models.Fleet,
    dispatch_id: models.DispatchId,
    upstream: ids.UpstreamId,
) -> None:
    """Remove a cancelled attempt from the queue, or stop its run."""
    target = fleet.upstreams[upstream]
    row = fleet.dispatches.get(dispatch_id)
    if row is None or target.condition is models.Condition.SILENT:
        return
    if target.queue.pop(dispatch_id, None) is not None:
        _reply(fleet, row, verdict.NeverStarted())
        return
    if dispatch_id in target.running:
        _release_slot(fleet, target, row)
        _reply(fleet, row, verdict.Lost('cancelled'))


def finish_run(fleet: models.Fleet, row: models.DispatchRow) -> None:
    """Answer a finished run and start the next attempt in the queue."""
    target = fleet.upstreams[row.upstream]
    if row.dispatch not in target.running:
        return
    _release_slot(fleet, target, row)
    if target.condition is models.Condition.SILENT:
        return
    record = str(row.work.work_id).encode()
    _reply(fleet, row, verdict.Answered(200, record))


def kill(fleet: models.Fleet, upstream: ids.UpstreamId) -> None:
    """Kill an upstream, which loses its running and queued attempts."""
    target = fleet.upstreams[upstream]
    lost_dispatches = [*target.running, *target.queue]
    for run_index in target.running.values():
        ended_run = fleet.runs[run_index]._replace(ended_ms=fleet.now_ms)
        fleet.runs[run_index] = ended_run
    target.running.clear()
    target.queue.clear()
    for dispatch_id in lost_dispatches:
        row = fleet.dispatches.get(dispatch_id)
        if row is not None:
            _reply(fleet, row, verdict.Lost('connection reset'))


def send_reports(fleet: models.Fleet) -> None:
    """Send the load of each upstream to the entries of its domain."""
    for row in fleet.upstreams.values():
        load_report = _load_report(row)
        if load_report is None:
            continue
        for entry in fleet.entries.values():
            if entry.domain == row.config.domain:
                deliver = events.Deliver(entry.ref.entry, load_report)
                network.schedule_after(fleet, const.REPORT_LAG_MS, deliver)


def _load_report(row: models.UpstreamRow) -> inp.UpstreamReport | None:
    count = len(row.running) + len(row.queue)
    match row.load_fault:
        case models.LoadFault.ABSENT:
            return None
        case models.LoadFault.ZERO:
            count = 0
        case models.LoadFault.FROZEN:
            count = row.last_reported[0]
    row.last_reported[0] = count
    healthy = row.condition is not models.Condition.DEAD
    leaving = row.condition is models.Condition.LEAVING
    return inp.UpstreamReport(row.config.upstream, healthy, count, leaving)


def _start_run(
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
    network.schedule_after(fleet, demand_ms, events.RunEnds(row))


def _release_slot(
    fleet: models.Fleet, target: models.UpstreamRow, row: models.DispatchRow
) -> None:
    run_index = target.running.pop(row.dispatch)
    ended_run = fleet.runs[run_index]._replace(ended_ms=fleet.now_ms)
    fleet.runs[run_index] = ended_run
    while target.queue and len(target.running) < target.config.slots:
        dispatch_id = next(iter(target.queue))
        _start_run(fleet, target, target.queue.pop(dispatch_id))


def _reply(
    fleet: models.Fleet, row: models.DispatchRow, outcome: verdict.Outcome
) -> None:
    entry = fleet.entries[row.dispatch.call.ref.entry]
    target = fleet.upstreams[row.upstream]
    connection = (entry.ref.entry, row.upstream)
    unreachable = not network.connected(
        fleet, entry.domain, target.config.domain
    )
    if unreachable or connection in fleet.silent_connections:
        return
    delay_ms = network.latency_ms(fleet, entry.domain, target.config.domain)
    arrival = events.OutcomeArrives(row.dispatch, outcome, row.work.work_id)
    network.schedule_after(fleet, delay_ms, arrival)
