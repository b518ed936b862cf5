"""Hold a fleet's runs and answers against every promise."""

import collections
from collections import abc
import math

from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_lab import fleet as fleets
from zinnialead_lab.fleet import models as fleet_models
from zinnialead_lab.fuzz import const
from zinnialead_lab.fuzz import deployment
from zinnialead_lab.fuzz import models


def broken(run: models.Run) -> abc.Iterator[str]:
    """Yield each promise that the fleet broke, and where."""
    yield from _keys(run)
    yield from _answers(run)
    yield from _shifts(run)
    for row in run.fleet.runs[run.checked[0] :]:
        yield from _drains(run, row)
    run.checked[0] = len(run.fleet.runs)
    for name in ('tickets.reverted', 'stop.cut'):
        if run.fleet.counters[name]:
            yield f'{name}: {run.fleet.counters[name]}'


def not_whole(run: models.Run, number: int) -> abc.Iterator[str]:
    """Yield what is still wrong after every fault has ended."""
    for row in run.fleet.entries.values():
        if row.process_state is not fleets.ProcessState.RUNNING:
            continue
        if run.fleet.highest.get(row.ref, 0) < number:
            yield f'ticket {number} is not in force on {row.ref}'


def _keys(run: models.Run) -> abc.Iterator[str]:
    keyed = [row for row in run.fleet.runs if row.key is not None]
    for key, count in collections.Counter(x.key for x in keyed).items():
        if count > 1:
            yield f'key {key} ran {count} times'
    works = collections.Counter(
        row.work_id for row in keyed if row.work_id not in run.copied
    )
    for work_id, count in works.items():
        if count > 1:
            yield f'work {work_id} ran {count} times'


def _answers(run: models.Run) -> abc.Iterator[str]:
    ran = {x.work_id: x.started_ms for x in reversed(run.fleet.runs)}
    for end in run.fleet.completions:
        work_id = end.work.work_id
        if not end.is_own_answer:
            yield f'work {work_id} got an answer that is not its own'
        if end.verdict is not verdict.Verdict.NOT_RUN or not end.work.keyed:
            continue
        # Another copy may run after one was refused, unless by a bar.
        until_ms = end.ended_ms - const.ANSWER_MAX_MS
        if work_id not in run.copied or end.reason == 'key-barred':
            until_ms = math.inf
        if ran.get(work_id, math.inf) < until_ms:
            yield f'work {work_id} ran, and was told {end.reason}: not run'


def _drains(run: models.Run, row: fleet_models.RunRow) -> abc.Iterator[str]:
    """Check that no work went where its entry knew of a drain."""
    latest_ms = row.started_ms - const.UPSTREAM_WAIT_MS
    grace_ms = const.DRAIN_GRACE_MS
    adopted = sorted(_adopted(run, row))
    before = [n for n, at_ms in adopted if at_ms < latest_ms - grace_ms]
    since = [
        n
        for n, at_ms in adopted
        if latest_ms - grace_ms <= at_ms <= row.started_ms
    ]
    known = [run.states[n] for n in [*before[-1:], *since]]
    if before and all(
        row.upstream in deployment.drained(state) for state in known
    ):
        yield f'{row.upstream} is drained, and got work: {row}'
    left_ms = run.leaving.get(row.upstream)
    if left_ms is not None:
        late_ms = latest_ms - left_ms - const.REPORT_LAG_MS
        if late_ms > const.DRAIN_GRACE_MS:
            yield f'{row.upstream} leaves, and got work: {row}'


def _adopted(
    run: models.Run, row: fleet_models.RunRow
) -> abc.Iterator[tuple[int, float]]:
    found = [
        (ref.incarnation, number, at_ms)
        for (ref, number), at_ms in run.fleet.adopted_ms.items()
        if ref.entry == row.entry and at_ms <= row.started_ms
    ]
    newest = max((x[0] for x in found), default=0)
    for incarnation, number, at_ms in found:
        if incarnation == newest:
            yield number, at_ms


def _shifts(run: models.Run) -> abc.Iterator[str]:
    """Check the caps, but for what upstreams' own queues held back."""
    window_ms = 1_000.0 - const.UPSTREAM_WAIT_MS
    starts: dict[tuple[ids.RegionId, ids.RegionId], list[float]] = {}
    for row in run.fleet.runs:
        home = run.fleet.entries[row.entry].region
        away = run.fleet.upstreams[row.upstream].region
        if home != away:
            starts.setdefault((home, away), []).append(row.started_ms)
    for link, times in starts.items():
        times.sort()
        most = int(const.SHIFTS_PER_S)
        for first, last in zip(times, times[most:], strict=False):
            if last - first < window_ms:
                yield f'more than {most} shifts in a second on {link}'
