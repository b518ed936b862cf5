"""Check the promises of a run by what its tables hold."""

import collections

from soak import const
from soak import models

PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
# What hides an answer from its caller, whatever the entry does.
HIDING = frozenset(
    ('Kill', 'Pause', 'FrontLink', 'UpstreamLink', 'Replace', 'lag')
)


def violations(tables):
    """Yield each promise that was not kept."""
    runs = collections.defaultdict(list)
    for run in tables.runs:
        runs[run.name].append(run)
    for request in tables.requests:
        yield from _once(request, runs[request.name])
        yield from _answer(tables, request, runs[request.name])
        yield from _routes(tables, request, runs[request.name])
    yield from _left(tables)
    yield from _in_force(tables, runs)
    yield from _named(tables)
    yield from _served(tables)


def is_calm(tables, entry, begin_ms, end_ms, faults=None):
    """Return whether no fault concerned an entry around a time."""
    since_ms = begin_ms - const.STABLE_WINDOW_MS
    return not any(
        span.begin_ms <= end_ms
        and span.end_ms >= since_ms
        and span.entry in (None, entry)
        and (faults is None or span.fault in faults)
        for span in tables.spans
    )


def _once(request, runs):
    if request.once and len(runs) > 1:
        yield models.ViolationRow('TWICE', f'{request} ran as {runs}')
    if len(runs) > const.ATTEMPTS_MAX:
        yield models.ViolationRow('ATTEMPTS', f'{request} ran as {runs}')
    refused = request.status in PROMISES_NOT_RUN
    if refused and request.once and runs:
        yield models.ViolationRow('REFUSED', f'{request} ran as {runs}')
    if request.status == 200 and not (request.is_whole and runs):
        yield models.ViolationRow('MIXED', f'{request} ran as {runs}')


def _answer(tables, request, runs):
    """Check that what was read is answered, in time."""
    if not is_calm(
        tables, request.entry, request.sent_ms, request.done_ms, HIDING
    ):
        return
    took_ms = request.done_ms - request.sent_ms
    if request.status == 0 and (runs or took_ms > const.LOSS_SLACK_MS):
        yield models.ViolationRow('LOST', f'{request} ran as {runs}')
    if took_ms > const.ROUTE_TIMEOUT_MS + const.TIMEOUT_SLACK_MS:
        yield models.ViolationRow('LATE', f'{request} ran as {runs}')


def _routes(tables, request, runs):
    allowed = {
        version.services.get(request.prefix) for version in tables.versions
    }
    for run in runs:
        if run.service not in allowed:
            yield models.ViolationRow('ROUTE', f'{request} ran as {run}')


def _left(tables):
    """Check that what leaves gets nothing once its time is over."""
    requests = {request.name: request for request in tables.requests}
    for left in tables.left:
        bound_ms = const.DRAIN_MS if left.upstream else const.EVACUATION_MS
        due_ms = left.acked_ms + bound_ms
        for run in tables.runs:
            is_it = run.upstream == left.upstream or run.domain == left.domain
            request = requests.get(run.name)
            if not is_it or request is None:
                continue
            late = due_ms < run.began_ms < left.until_ms
            if late and _is_in_touch(tables, request, left.acked_ms):
                yield models.ViolationRow('DRAIN', f'{run} after {left}')


# Planned changes excuse no entry.
UNPLANNED = HIDING | {'StoreFault', 'StoreLink', 'Stop', 'Reload'}


def _is_in_touch(tables, request, since_ms):
    begin_ms = min(since_ms, request.sent_ms)
    return is_calm(tables, request.entry, begin_ms, request.done_ms, UNPLANNED)


def _in_force(tables, runs):
    """Check that each entry follows a version once it is due."""
    for request in tables.requests:
        due_ms = request.sent_ms - const.CONFIG_APPLY_MS
        old = [x for x in tables.versions if x.acked_ms <= due_ms]
        new = [
            x
            for x in tables.versions
            if due_ms < x.acked_ms <= request.done_ms
        ]
        if not old or not _is_in_touch(tables, request, old[-1].acked_ms):
            continue
        allowed = {x.services.get(request.prefix) for x in (old[-1], *new)}
        if request.status == 404 and None not in allowed:
            yield models.ViolationRow('CONFIG', f'{request}: {allowed}')
        for run in runs[request.name]:
            if run.service not in allowed:
                yield models.ViolationRow('CONFIG', f'{request}: {run}')


def _named(tables):
    """Check that look-ups name no entry that is long gone."""
    for look_up in tables.look_ups:
        for down in tables.down:
            due_ms = down.since_ms + const.NAMED_MS
            if not due_ms < look_up.at_ms < down.until_ms:
                continue
            calm = is_calm(tables, look_up.entry, down.since_ms, look_up.at_ms)
            if down.entry in look_up.named and calm:
                yield models.ViolationRow('NAMED', f'{look_up} after {down}')


def _served(tables):
    """Check that calm entries serve, and that all do in the end."""
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
    last = {
        request.entry
        for request in calm
        if request.sent_ms > end_ms - const.LAST_CHECK_MS
        and request.status == 200
    }
    for entry in sorted(set(const.ENTRIES) - last):
        yield models.ViolationRow('RECOVERY', f'{entry} does not serve')
