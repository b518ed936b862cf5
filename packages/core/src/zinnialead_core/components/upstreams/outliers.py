"""Eject upstreams that fail, and try them again.

An upstream is ejected after several failures in a row, or one answer that
is no HTTP or has no end. It then gets one slot on trial, and ramps up after
a success; a failed trial ejects it for longer. Never more than half of a
service's upstreams are ejected, since a failure of all of them rarely has
its cause in the upstreams.
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
    """Update the health of an upstream after an attempt."""
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
        case slots.SlotEnd.FAULTY:
            failed = row._replace(failures=row.failures + 1)
            world.upstreams[upstream] = failed
            world.counters['upstreams.faulty'] += 1
            eject(world, now_ms, failed, siblings)
        case slots.SlotEnd.UNUSED | slots.SlotEnd.TIMED_OUT:
            pass


def eject(
    world: world_module.World,
    now_ms: float,
    row: models.HealthRow,
    siblings: abc.Sequence[tickets.UpstreamRow],
) -> None:
    """Eject an upstream for a while, unless too many are ejected."""
    if now_ms < row.out_until_ms:
        return
    ejected_siblings = sum(
        _is_ejected(world, sibling.upstream)
        for sibling in siblings
        if sibling.upstream != row.upstream
    )
    if ejected_siblings + 1 > len(siblings) * const.EJECTED_SHARE_MAX:
        world.counters['upstreams.left_in'] += 1
        return
    world.counters['upstreams.left_out'] += 1
    ejection_ms = const.EJECTION_MS * 2**row.ejections
    world.upstreams[row.upstream] = row._replace(
        out_until_ms=now_ms + min(ejection_ms, const.EJECTION_MAX_MS),
        on_trial=True,
        ejections=min(row.ejections + 1, const.EJECTIONS_MAX),
    )


def _served(row: models.HealthRow, now_ms: float) -> models.HealthRow:
    ramp_start_ms = now_ms if row.on_trial else row.ramp_start_ms
    return row._replace(
        failures=0,
        on_trial=False,
        ejections=0,
        answered_ms=now_ms,
        ramp_start_ms=ramp_start_ms,
    )


def _shed(
    row: models.HealthRow, now_ms: float, in_use: int
) -> models.HealthRow:
    """Lower the usable slots, once for a burst of shed requests.

    A shed request is not a failure: it shows that the upstream runs.
    """
    answered = row._replace(failures=0, answered_ms=now_ms)
    already_lowered = row.shed_limit is not None and (
        now_ms - row.shed_ms < const.SHED_PERIOD_MS
    )
    if already_lowered:
        return answered
    shed_limit = max(1.0, in_use * const.SHED_SHARE)
    return answered._replace(shed_limit=shed_limit, shed_ms=now_ms)


def _is_ejected(world: world_module.World, upstream: ids.UpstreamId) -> bool:
    row = world.upstreams.get(upstream)
    return row is not None and row.on_trial
