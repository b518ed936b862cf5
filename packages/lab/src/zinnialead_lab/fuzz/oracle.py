"""Check the runs and answers of a fleet against every promise."""

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


def violations(run: models.Run) -> abc.Iterator[str]:
    """Yield a description of each violated promise."""
    yield from _duplicate_runs(run)
    yield from _wrong_answers(run)
    yield from _cap_excesses(run)
    for row in run.fleet.runs[run.checked_run_count[0] :]:
        yield from _runs_after_drain(run, row)
    run.checked_run_count[0] = len(run.fleet.runs)
    for name in ('tickets.reverted', 'stop.cut'):
        if run.fleet.counters[name]:
            yield f'{name}: {run.fleet.counters[name]}'


def recovery_violations(run: models.Run, number: int) -> abc.Iterator[str]:
    """Yield what has not recovered after every fault has ended."""
    for row in run.fleet.entries.values():
        if row.process_state is not fleets.ProcessState.RUNNING:
            continue
        if run.fleet.highest_tickets.get(row.ref, 0) < number:
            yield f'ticket {number} is not in force on {row.ref}'


def _duplicate_runs(run: models.Run) -> abc.Iterator[str]:
    keyed = [row for row in run.fleet.runs if row.key is not None]
    for key, count in collections.Counter(x.key for x in keyed).items():
        if count > 1:
            yield f'key {key} ran {count} times'
    works = collections.Counter(
        row.work_id for row in keyed if row.work_id not in run.duplicated_work
    )
    for work_id, count in works.items():
        if count > 1:
            yield f'work {work_id} ran {count} times'


def _wrong_answers(run: models.Run) -> abc.Iterator[str]:
    first_start_ms = {
        x.work_id: x.started_ms for x in reversed(run.fleet.runs)
    }
    for row in run.fleet.completions:
        work_id = row.work.work_id
        if not row.is_own_answer:
            yield f'work {work_id} got an answer that is not its own'
        if row.verdict is not verdict.Verdict.NOT_RUN or not row.work.keyed:
            continue
        # After one copy is refused another may run, unless the key is barred.
        until_ms = row.ended_ms - const.ANSWER_DELAY_MAX_MS
        if work_id not in run.duplicated_work or row.reason == 'key-barred':
            until_ms = math.inf
        if first_start_ms.get(work_id, math.inf) < until_ms:
            yield f'work {work_id} ran, and was told {row.reason}: not run'


def _runs_after_drain(
    run: models.Run, row: fleet_models.RunRow
) -> abc.Iterator[str]:
    """Yield sends to an upstream known to be drained or leaving."""
    earliest_sent_ms = row.started_ms - const.UPSTREAM_WAIT_MS
    grace_ms = const.DRAIN_GRACE_MS
    adopted = sorted(_adopted_tickets(run, row))
    before = [n for n, at_ms in adopted if at_ms < earliest_sent_ms - grace_ms]
    during_grace = [
        n
        for n, at_ms in adopted
        if earliest_sent_ms - grace_ms <= at_ms <= row.started_ms
    ]
    possible_states = [run.states[n] for n in [*before[-1:], *during_grace]]
    if before and all(
        row.upstream in deployment.drained_upstreams(state)
        for state in possible_states
    ):
        yield f'{row.upstream} is drained, and got work: {row}'
    leaving_ms = run.leaving_since_ms.get(row.upstream)
    if leaving_ms is not None:
        late_ms = earliest_sent_ms - leaving_ms - const.REPORT_LAG_MS
        if late_ms > const.DRAIN_GRACE_MS:
            yield f'{row.upstream} leaves, and got work: {row}'


def _adopted_tickets(
    run: models.Run, row: fleet_models.RunRow
) -> abc.Iterator[tuple[int, float]]:
    adoptions = [
        (ref.incarnation, number, at_ms)
        for (ref, number), at_ms in run.fleet.adopted_ms.items()
        if ref.entry == row.entry and at_ms <= row.started_ms
    ]
    latest_incarnation = max((x[0] for x in adoptions), default=0)
    for incarnation, number, at_ms in adoptions:
        if incarnation == latest_incarnation:
            yield number, at_ms


def _cap_excesses(run: models.Run) -> abc.Iterator[str]:
    """Yield excesses over the shift caps.

    The window is a second less the longest wait in an upstream's queue,
    because runs start up to that much after their sends.
    """
    window_ms = 1_000.0 - const.UPSTREAM_WAIT_MS
    starts: dict[tuple[ids.RegionId, ids.RegionId], list[float]] = {}
    for row in run.fleet.runs:
        from_region = run.fleet.entries[row.entry].region
        to_region = run.fleet.upstreams[row.upstream].region
        if from_region != to_region:
            starts.setdefault((from_region, to_region), []).append(
                row.started_ms
            )
    for link, start_times_ms in starts.items():
        start_times_ms.sort()
        cap = int(const.SHIFT_CAP_PER_S)
        for first, last in zip(
            start_times_ms, start_times_ms[cap:], strict=False
        ):
            if last - first < window_ms:
                yield f'more than {cap} shifts in a second on {link}'
