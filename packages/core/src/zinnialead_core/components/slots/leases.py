"""Lease slots to askers and count those in use.

A lease outlives a holder that died, or was paused, by a few seconds; a
holder that lives renews it each second with ``SlotHeldReport``.
"""

from collections import abc

from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import door
from zinnialead_core.components.slots import floors
from zinnialead_core.components.slots import local_config
from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import models
from zinnialead_core.components.upstreams import outliers
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


def start(
    world: world_module.World,
    now_ms: float,
    row: models.QueuedRow,
    upstream: ids.UpstreamId,
) -> abc.Iterator[out.Output]:
    """Lease a slot at ``upstream`` to an ask, and tell the asker."""
    world.counters[f'slots.granted.{row.rank}'] += 1
    grant = models.GrantRow(
        row.ask_id,
        row.service,
        row.rank,
        upstream,
        now_ms,
        now_ms + const.GRANT_LEASE_MS,
        row.from_domain,
    )
    _count(world, grant)
    answer = messages.SlotAnswer(row.ask_id, upstream)
    yield out.SendPeer(row.ask_id.asker.entry, answer)


def renew(
    world: world_module.World,
    now_ms: float,
    report: messages.SlotHeldReport,
) -> None:
    """Count a slot in use that was not known, or renew its lease."""
    known = world.queues.grants.get(report.ask_id)
    expires_ms = now_ms + const.GRANT_LEASE_MS
    if known is not None and known.upstream == report.upstream:
        _expire_at(world, known, expires_ms)
        return
    if report.upstream not in world.states['in-force'].upstreams:
        world.counters['slots.report_unknown'] += 1
        return
    if known is not None:
        _discount(world, known)
    world.counters['slots.report_counted'] += 1
    grant = models.GrantRow(
        report.ask_id,
        report.service,
        report.rank,
        report.upstream,
        now_ms,
        expires_ms,
        report.from_domain,
    )
    _count(world, grant)


def end(
    world: world_module.World, now_ms: float, back: messages.SlotReturn
) -> models.GrantRow | None:
    """Free a slot, and learn from how the attempt that held it ended."""
    row = world.queues.grants.get(back.ask_id)
    if row is None:
        return None
    _discount(world, row)
    elapsed_ms = max(0.0, back.elapsed_ms) or now_ms - row.granted_ms
    usual_ms = door.service_time_ms(world, row.service)
    if usual_ms > 0.0:
        floors.used(world, row.service, row.rank, elapsed_ms / usual_ms)
    _measure(world, row.service, back.end, elapsed_ms)
    siblings = local_config.get(world, row.service).upstreams
    end = _judged(world, row, back.end, elapsed_ms)
    outliers.record_attempt(world, now_ms, row.upstream, siblings, end)
    return row


def holder_lost(
    world: world_module.World, now_ms: float, lost: ids.EntryRef
) -> None:
    """Let the leases of a run of an entry that is over lapse soon.

    Its upstreams may still be busy with what they were sent, for about
    a service time.
    """
    for row in list(world.queues.grants.values()):
        if is_run_of(row.ask_id.asker, lost):
            soon_ms = now_ms + door.service_time_ms(world, row.service)
            _expire_at(world, row, min(row.expires_ms, soon_ms))


def _measure(
    world: world_module.World,
    service: ids.ServiceId,
    end: models.SlotEnd,
    elapsed_ms: float,
) -> None:
    match end:
        case models.SlotEnd.SERVED:
            door.measured(world, service, elapsed_ms)
        case models.SlotEnd.TIMED_OUT:
            # To leave these out would make service look ever shorter.
            ample_ms = _ample_ms(world, service)
            door.measured(world, service, min(elapsed_ms, ample_ms))


def _ample_ms(world: world_module.World, service: ids.ServiceId) -> float:
    service_time_ms = door.service_time_ms(world, service)
    return service_time_ms * const.AMPLE_SERVICE_TIMES


def _judged(
    world: world_module.World,
    row: models.GrantRow,
    end: models.SlotEnd,
    elapsed_ms: float,
) -> models.SlotEnd:
    """Hold a timeout against its upstream only where it had ample time."""
    if end is not models.SlotEnd.TIMED_OUT:
        return end
    if elapsed_ms < _ample_ms(world, row.service):
        return models.SlotEnd.UNUSED
    return models.SlotEnd.FAILED


def is_run_of(asker: ids.EntryRef, lost: ids.EntryRef) -> bool:
    """Return whether an asker is a run of an entry up to ``lost``."""
    return asker.entry == lost.entry and asker.incarnation <= lost.incarnation


def _count(world: world_module.World, row: models.GrantRow) -> None:
    queues = world.queues
    queues.grants[row.ask_id] = row
    used = queues.in_use.get(row.upstream, 0) + 1
    queues.in_use[row.upstream] = used
    queues.in_use_peaks[row.upstream] = max(
        used, queues.in_use_peaks.get(row.upstream, 0)
    )
    timer = timers.QueueExpiry(row.ask_id)
    timers.start(world.timers, timer, row.expires_ms)


def _discount(world: world_module.World, row: models.GrantRow) -> None:
    del world.queues.grants[row.ask_id]
    world.queues.in_use[row.upstream] -= 1
    timers.stop(world.timers, timers.QueueExpiry(row.ask_id))


def _expire_at(
    world: world_module.World, row: models.GrantRow, expires_ms: float
) -> None:
    world.queues.grants[row.ask_id] = row._replace(expires_ms=expires_ms)
    timer = timers.QueueExpiry(row.ask_id)
    timers.start(world.timers, timer, expires_ms)
