"""Check the guarantees of the system against the tables of a run."""

import collections
import operator

from soak import const
from soak import models

# Statuses that guarantee that a non-idempotent request was not executed.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Faults that can keep a response from its caller, whatever the entry does.
HIDING_FAULTS = frozenset(
    (
        'Kill',
        'Pause',
        'FrontLink',
        'UpstreamLink',
        'RestartUpstream',
        'Replace',
        'lag',
    )
)
SLOWING_FAULTS = frozenset(('Pause', 'lag'))


def violations(tables):
    """Yield a row for each guarantee that was broken."""
    runs = collections.defaultdict(list)
    for run in tables.runs:
        runs[run.name].append(run)
    for request in tables.requests:
        yield from _check_execution(request, runs[request.name])
        yield from _check_response(tables, request, runs[request.name])
        yield from _check_routes(tables, request, runs[request.name])
    yield from _check_departures(tables)
    yield from _check_leaving(tables)
    yield from _check_versions(tables, runs)
    yield from _check_reverts(tables, runs)
    yield from _check_look_ups(tables)
    yield from _check_availability(tables)
    yield from _check_cold(tables)


def is_calm(tables, entry, begin_ms, end_ms, faults=None):
    """Return whether no fault affected an entry in or just before a period.

    "Just before" is STABLE_WINDOW_MS; ``faults`` limits the check to faults
    of these names.
    """
    since_ms = begin_ms - const.STABLE_WINDOW_MS
    return not any(
        span.begin_ms <= end_ms
        and span.end_ms >= since_ms
        and span.entry in (None, entry)
        and (faults is None or span.fault in faults)
        for span in tables.spans
    )


def _check_cold(tables):
    """Check that an upstream that has just started is not flooded."""
    runs_max = const.COLD_PER_S * const.COLD_FACTOR + const.COLD_SLACK_PER_S
    for start in tables.upstream_starts:
        end_ms = start.started_ms + const.WARM_UP_MS
        runs = [
            run
            for run in tables.runs
            if run.upstream == start.upstream
            and start.started_ms <= run.began_ms < end_ms
        ]
        if len(runs) > runs_max:
            yield models.ViolationRow('COLD', f'{start} ran {runs}')


def _check_execution(request, runs):
    """Check how often a request ran, and that its response agrees."""
    if request.once and len(runs) > 1:
        yield models.ViolationRow('TWICE', f'{request} ran as {runs}')
    if len(runs) > const.ATTEMPTS_MAX:
        yield models.ViolationRow('ATTEMPTS', f'{request} ran as {runs}')
    is_refused = request.status in NOT_RUN_STATUSES
    if is_refused and request.once and runs:
        yield models.ViolationRow('REFUSED', f'{request} ran as {runs}')
    if request.status == 200 and not (request.is_whole and runs):
        yield models.ViolationRow('MIXED', f'{request} ran as {runs}')


def _check_response(tables, request, runs):
    """Check that each request that was read got a response in time."""
    if not is_calm(
        tables, request.entry, request.sent_ms, request.done_ms, HIDING_FAULTS
    ):
        return
    elapsed_ms = request.done_ms - request.sent_ms
    if _is_broken_off(request, runs) and not _outlasts_grace(
        tables, request, runs
    ):
        yield models.ViolationRow('LOST', f'{request} ran as {runs}')
    if elapsed_ms > const.ROUTE_TIMEOUT_MS + const.TIMEOUT_SLACK_MS:
        yield models.ViolationRow('LATE', f'{request} ran as {runs}')


def _is_broken_off(request, runs):
    """Return whether a request got no response, or none of its upstream.

    A response of the entry's own is due at the route's timeout; before, it
    takes the place of the upstream's.
    """
    elapsed_ms = request.done_ms - request.sent_ms
    if request.status == 0:
        return runs or elapsed_ms > const.LOSS_SLACK_MS
    if request.status == 200:
        return False
    return runs and elapsed_ms < min(const.ROUTE_TIMEOUT_MS, const.DEADLINE_MS)


def _outlasts_grace(tables, request, runs):
    """Return whether a stopping entry may break a request off.

    It may in the last sixth of its grace period, if the request was sent in
    the first half and its upstream is still at work.
    """
    stopping_ms = _process(tables, request).stopping_ms
    last_sixth_ms = stopping_ms + const.GRACE_MS * 5.0 / 6.0
    return (
        request.sent_ms <= stopping_ms + const.GRACE_MS / 2.0
        and request.done_ms >= last_sixth_ms
        and any(run.until_ms >= last_sixth_ms for run in runs)
    )


def _process(tables, request):
    """Return the process of the entry to which a request was sent."""
    return [
        process
        for process in tables.processes
        if process.entry == request.entry
        and process.started_ms <= request.sent_ms
    ][-1]


def _check_routes(tables, request, runs):
    """Check that a request ran only at services its route has had."""
    allowed = {
        version.services.get(request.prefix) for version in tables.versions
    }
    for run in runs:
        if run.service not in allowed:
            yield models.ViolationRow('ROUTE', f'{request} ran as {run}')


def _check_departures(tables):
    """Check that drained upstreams and domains get no more requests."""
    requests = {request.name: request for request in tables.requests}
    for departure in tables.departures:
        if departure.upstream:
            acked_ms = _stable_since_ms(tables, departure.acked_ms)
            due_ms = acked_ms + const.DRAIN_MS
        else:
            due_ms = departure.acked_ms + const.EVACUATION_MS
        for run in tables.runs:
            is_leaving = (
                run.upstream == departure.upstream
                or run.domain == departure.domain
            )
            request = requests.get(run.name)
            if not is_leaving or request is None:
                continue
            is_late = due_ms < run.began_ms < departure.until_ms
            # A link to an upstream that delays requests excuses them.
            if is_late and _is_in_touch(
                tables, request, DISRUPTIVE_FAULTS | {'UpstreamLink'}
            ):
                yield models.ViolationRow('DRAIN', f'{run} after {departure}')


def _check_leaving(tables):
    """Check that a process keeps to what leaving upstreams told it.

    They say so in each response.  Disruptions of the store excuse nothing.
    """
    requests = {request.name: request for request in tables.requests}
    for departure in tables.departures:
        told_ms = {}
        for run in tables.runs:
            request = requests.get(run.name)
            if run.upstream != departure.upstream or request is None:
                continue
            process = _process(tables, request)
            since_ms = told_ms.get(process, float('inf'))
            is_late = request.sent_ms > since_ms + const.DRAIN_MS
            if is_late and not _was_slowed(tables, request, since_ms):
                yield models.ViolationRow('LEAVING', f'{request} ran as {run}')
            if request.status == 200 and run.until_ms >= departure.acked_ms:
                told_ms[process] = min(since_ms, request.done_ms)


def _stable_since_ms(tables, at_ms):
    """Return when the store is stable, not before ``at_ms``.

    Upstreams repeat with each heartbeat that they leave, so the store
    acknowledges it again then.
    """
    stable_ms = at_ms
    for span in sorted(tables.spans, key=lambda x: x.begin_ms):
        is_unstable = (
            span.begin_ms <= stable_ms < span.end_ms + const.STABLE_WINDOW_MS
        )
        if span.fault in STORE_FAULTS and is_unstable:
            stable_ms = span.end_ms + const.STABLE_WINDOW_MS
    return stable_ms


STORE_FAULTS = frozenset(('StoreFault', 'StoreRestored'))
# Faults after which an entry is out of touch for STABLE_WINDOW_MS, which
# excuses it from applying a change in time.
DISRUPTIVE_FAULTS = STORE_FAULTS | {
    'Kill',
    'Pause',
    'Stop',
    'FrontLink',
    'StoreLink',
    'lag',
}


def _is_in_touch(tables, request, faults=DISRUPTIVE_FAULTS):
    return is_calm(
        tables, request.entry, request.sent_ms, request.done_ms, faults
    )


def _check_versions(tables, runs):
    """Check that entries apply a configuration within CONFIG_APPLY_MS."""
    for request in tables.requests:
        due_ms = request.sent_ms - const.CONFIG_APPLY_MS
        earlier = [x for x in tables.versions if x.acked_ms <= due_ms]
        recent = [
            x
            for x in tables.versions
            if due_ms < x.acked_ms <= request.done_ms
        ]
        if not earlier or not _is_in_touch(tables, request):
            continue
        allowed = {
            x.services.get(request.prefix) for x in (earlier[-1], *recent)
        }
        if request.status == 404 and None not in allowed:
            yield models.ViolationRow('CONFIG', f'{request}: {allowed}')
        for run in runs[request.name]:
            if run.service not in allowed:
                yield models.ViolationRow('CONFIG', f'{request}: {run}')


def _check_reverts(tables, runs):
    """Check that no process goes back to an older configuration.

    A request shows at least the oldest version that handles it like this and
    isn't older than what earlier ones have shown.
    """
    shown = collections.defaultdict(list)
    outcomes = []
    for request in tables.requests:
        process = _process(tables, request)
        if request.status == 404:
            outcomes.append((request.done_ms, None, request, process))
        for run in runs[request.name]:
            outcomes.append((run.began_ms, run.service, request, process))
    for at_ms, service, request, process in sorted(
        outcomes, key=operator.itemgetter(0)
    ):
        shown_ms = request.sent_ms - _revert_slack_ms(tables, request)
        known = max((v for t, v in shown[process] if t < shown_ms), default=0)
        version = min(
            (
                x.version
                for x in tables.versions
                if x.version >= known
                and x.acked_ms <= at_ms
                and x.services.get(request.prefix) == service
            ),
            default=None,
        )
        if version is None:
            yield models.ViolationRow(
                'REVERTED', f'{request} to {service} after version {known}'
            )
        elif service is not None:
            shown[process].append((at_ms, version))


def _revert_slack_ms(tables, request):
    is_slowed = _was_slowed(tables, request, request.sent_ms)
    factor = const.SLOWED_FACTOR if is_slowed else 1.0
    return const.REVERT_SLACK_MS * factor


def _was_slowed(tables, request, since_ms):
    return not is_calm(
        tables, request.entry, since_ms, request.done_ms, SLOWING_FAULTS
    )


def _check_look_ups(tables):
    """Check that look-ups no longer name an entry that has been down."""
    for look_up in tables.look_ups:
        for outage in tables.outages:
            due_ms = outage.since_ms + const.DEAD_ENTRY_NAMED_MS
            if not due_ms < look_up.at_ms < outage.until_ms:
                continue
            undisturbed = is_calm(
                tables, look_up.entry, outage.since_ms, look_up.at_ms
            )
            if outage.entry in look_up.named and undisturbed:
                yield models.ViolationRow('NAMED', f'{look_up} after {outage}')


def _check_availability(tables):
    """Check that calm entries serve, and that all do at the end."""
    calm = [
        request
        for request in tables.requests
        if is_calm(tables, request.entry, request.sent_ms, request.done_ms)
    ]
    failed = [request for request in calm if request.status != 200]
    if len(failed) * 100.0 > const.CALM_FAILED_PERCENT * len(calm):
        yield models.ViolationRow(
            'SERVED', f'{len(failed)} of {len(calm)}: {failed[:3]}'
        )
    end_ms = max((x.sent_ms for x in tables.requests), default=0.0)
    last = [
        request
        for request in calm
        if request.sent_ms > end_ms - const.LAST_CHECK_MS
    ]
    first_prefixes = tables.versions[0].services
    last_added = [x for x in last if x.prefix not in first_prefixes]
    entries = set(const.ALL_ENTRIES)
    for entry in sorted(entries - _served(last)):
        yield models.ViolationRow('RECOVERY', f'{entry} does not serve')
    asked = {request.entry for request in last_added}
    for entry in sorted(asked - _served(last_added)):
        yield models.ViolationRow('ADDED', f'{entry} serves no added route')


def _served(requests):
    return {request.entry for request in requests if request.status == 200}
