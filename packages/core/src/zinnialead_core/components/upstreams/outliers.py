"""Leave out upstreams that fail, and try them again.

An upstream is left out after failures in a row, then gets one slot on
trial, and ramps up after a success; a failed trial leaves it out for
longer. Never more than half of a service's upstreams are out, since
what fails everywhere is seldom the upstreams' own fault.
"""

from collections import abc

from zinnialead_core.components import slots
from zinnialead_core.components import tickets
from zinnialead_core.components.upstreams import const
from zinnialead_core.components.upstreams import models
from zinnialead_core import ids
from zinnialead_core import world as world_module


def record_attempt(
    world: world_module.World,
    now_ms: float,
    upstream: ids.UpstreamId,
    siblings: abc.Sequence[tickets.UpstreamRow],
    end: slots.SlotEnd,
) -> None:
    """Take in how an attempt at an upstream ended."""
    row = world.upstreams.get(upstream) or models.HealthRow(upstream)
    match end:
        case slots.SlotEnd.SERVED:
            world.upstreams[upstream] = _served(row, now_ms)
        case slots.SlotEnd.SHED:
            in_use = world.queues.in_use.get(upstream, 0) + 1
            world.upstreams[upstream] = _shed(row, now_ms, in_use)
            world.counters['upstreams.shed'] += 1
        case slots.SlotEnd.FAILED:
            failed = row._replace(failures=row.failures + 1)
            world.upstreams[upstream] = failed
            if failed.on_trial or failed.failures >= const.FAILURES_MAX:
                eject(world, now_ms, failed, siblings)
        case slots.SlotEnd.UNUSED | slots.SlotEnd.TIMED_OUT:
            pass


def eject(
    world: world_module.World,
    now_ms: float,
    row: models.HealthRow,
    siblings: abc.Sequence[tickets.UpstreamRow],
) -> None:
    """Leave an upstream out for a while, unless too many are out."""
    if now_ms < row.out_until_ms:
        return
    others_out = sum(
        _is_out(world, sibling.upstream)
        for sibling in siblings
        if sibling.upstream != row.upstream
    )
    if others_out + 1 > len(siblings) * const.LEFT_OUT_SHARE_MAX:
        world.counters['upstreams.left_in'] += 1
        return
    world.counters['upstreams.left_out'] += 1
    out_ms = const.LEFT_OUT_MS * 2**row.times_out
    world.upstreams[row.upstream] = row._replace(
        out_until_ms=now_ms + min(out_ms, const.LEFT_OUT_MAX_MS),
        on_trial=True,
        times_out=min(row.times_out + 1, const.TIMES_OUT_MAX),
    )


def _served(row: models.HealthRow, now_ms: float) -> models.HealthRow:
    since_ms = now_ms if row.on_trial else row.since_ms
    return row._replace(
        failures=0,
        on_trial=False,
        times_out=0,
        proved_ms=now_ms,
        since_ms=since_ms,
    )


def _shed(
    row: models.HealthRow, now_ms: float, in_use: int
) -> models.HealthRow:
    """Cut the believed slots, once for a burst of sheds.

    A shed tells that the upstream lives, so it is no failure.
    """
    proved = row._replace(failures=0, proved_ms=now_ms)
    recent = row.limit is not None and (
        now_ms - row.shed_ms < const.SHED_PERIOD_MS
    )
    if recent:
        return proved
    limit = max(1.0, in_use * const.SHED_SHARE)
    return proved._replace(limit=limit, shed_ms=now_ms)


def _is_out(world: world_module.World, upstream: ids.UpstreamId) -> bool:
    row = world.upstreams.get(upstream)
    return row is not None and row.on_trial
