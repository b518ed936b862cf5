"""Run the upstreams: slots, queues, caches and slowed machines."""

from collections import abc
import zlib

from zinnialead_core.gateway import inputs as inp
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_lab.load import deployment
from zinnialead_lab.load import models

# Work on a cached object takes this share of the usual time.
CACHED_SHARE = 0.3
WORK_SPREAD = (0.85, 1.15)
USUAL_PERCENT = 100

DueEvent = tuple[float, models.Event]


def receive(
    world: models.World, now_ms: float, job: models.JobRow
) -> abc.Iterator[DueEvent]:
    """Run an attempt, queue it or refuse it."""
    row = world.upstreams[job.dispatch.upstream]
    key = (job.entry, job.dispatch.request_id)
    if (job.entry, job.dispatch.request_id) not in world.pending:
        return
    if len(row.running) < row.service.slots:
        yield _run(world, now_ms, job)
    elif len(row.waiting) < row.service.queue_max:
        row.waiting[key] = job
    else:
        yield _answer(world, now_ms, job, verdict.Shed())


def finish(
    world: models.World, now_ms: float, job: models.JobRow
) -> abc.Iterator[DueEvent]:
    """End the work on an attempt, and begin that on the next one."""
    row = world.upstreams[job.dispatch.upstream]
    key = (job.entry, job.dispatch.request_id)
    if row.running.get(key) is not job:
        return
    yield _answer(world, now_ms, job, verdict.Answered(200))
    del row.running[key]
    row.cached[job.caller.object_key] = None
    row.cached.move_to_end(job.caller.object_key)
    while len(row.cached) > row.service.cached_objects:
        row.cached.popitem(last=False)
    yield from _run_next(world, now_ms, row)


def cancel(world: models.World, entry: str, request_id: ids.RequestId) -> None:
    """Drop an attempt whose connection was closed."""
    key = (entry, request_id)
    for row in world.upstreams.values():
        row.waiting.pop(key, None)
        row.running.pop(key, None)


def work_time_percent(
    world: models.World, now_ms: float, upstream: str
) -> int:
    """Return how long work takes on an upstream's machine now."""
    noise = world.scenario.noise
    if noise is None:
        return USUAL_PERCENT
    period = int(now_ms // noise.period_ms)
    draw = zlib.crc32(f'{upstream}|{period}|{world.scenario.seed}'.encode())
    is_slow = draw % 1_000 < noise.share * 1_000
    return int(USUAL_PERCENT * noise.factor) if is_slow else USUAL_PERCENT


def _run_next(
    world: models.World, now_ms: float, row: models.UpstreamState
) -> abc.Iterator[DueEvent]:
    while row.waiting and len(row.running) < row.service.slots:
        key = next(iter(row.waiting))
        yield _run(world, now_ms, row.waiting.pop(key))


def _run(world: models.World, now_ms: float, job: models.JobRow) -> DueEvent:
    row = world.upstreams[job.dispatch.upstream]
    row.running[(job.entry, job.dispatch.request_id)] = job
    work_ms = job.caller.kind.work_ms * world.random.uniform(*WORK_SPREAD)
    if job.caller.object_key in row.cached:
        work_ms *= CACHED_SHARE
    percent = work_time_percent(world, now_ms, job.dispatch.upstream)
    return now_ms + work_ms * percent / USUAL_PERCENT, models.WorkEnds(job)


def _answer(
    world: models.World,
    now_ms: float,
    job: models.JobRow,
    outcome: verdict.Outcome,
) -> DueEvent:
    row = world.upstreams[job.dispatch.upstream]
    noise = world.scenario.noise
    percent = work_time_percent(world, now_ms, job.dispatch.upstream)
    load = inp.ReportedLoad(
        len(row.running),
        len(row.waiting),
        row.service.slots,
        percent if noise is not None and noise.is_reported else None,
    )
    delay_ms = deployment.delay_ms(
        world, job.caller.region, job.dispatch.upstream
    )
    done = inp.AttemptDone(
        job.dispatch.request_id,
        job.dispatch.attempt,
        outcome,
        now_ms + 2 * delay_ms - job.reached_ms,
        load,
    )
    return now_ms + delay_ms, models.InputArrives(job.entry, done)
