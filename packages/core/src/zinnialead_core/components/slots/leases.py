"""Lease slots to askers and count the slots in use.

A live holder renews its lease every second with ``SlotHeldReport``.  The
lease of a holder that died or was paused expires after a few seconds.
"""

from collections import abc

from zinnialead_core.components.slots import admission
from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import local_config
from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import models
from zinnialead_core.components.slots import scheduling
from zinnialead_core.components.upstreams import announcements
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
    """Lease a slot at ``upstream`` to an ask and notify the asker."""
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
    _add_grant(world, grant)
    answer = answer_for(world, now_ms, grant)
    yield out.SendPeer(row.ask_id.asker.entry, answer)


def answer_for(
    world: world_module.World, now_ms: float, grant: models.GrantRow
) -> messages.SlotAnswer:
    """Return the message that tells the asker of its grant."""
    polled_ago_ms = announcements.polled_ago_ms(world, now_ms, grant.upstream)
    return messages.SlotAnswer(
        grant.ask_id, grant.upstream, polled_ago_ms=polled_ago_ms
    )


def renew(
    world: world_module.World,
    now_ms: float,
    report: messages.SlotHeldReport,
) -> None:
    """Renew the lease of a slot, or count the slot if it is not known."""
    existing = world.queues.grants.get(report.ask_id)
    expires_ms = now_ms + const.GRANT_LEASE_MS
    if existing is not None and existing.upstream == report.upstream:
        _expire_at(world, existing, expires_ms)
        return
    if report.upstream not in world.states['in-force'].upstreams:
        world.counters['slots.report_unknown'] += 1
        return
    if existing is not None:
        _remove_grant(world, existing)
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
    _add_grant(world, grant)


def end(
    world: world_module.World, now_ms: float, slot_return: messages.SlotReturn
) -> models.GrantRow | None:
    """Free a slot and record how its attempt ended; return its grant."""
    row = world.queues.grants.get(slot_return.ask_id)
    if row is None:
        return None
    _remove_grant(world, row)
    elapsed_ms = max(0.0, slot_return.elapsed_ms) or now_ms - row.granted_ms
    mean_ms = admission.service_time_ms(world, row.service)
    if mean_ms > 0.0:
        scheduling.correct_credits(
            world, row.service, row.rank, elapsed_ms / mean_ms
        )
    _record_service_time(world, row.service, slot_return.end, elapsed_ms)
    siblings = local_config.get(world, row.service).upstreams
    end = _end_for_health(world, row, slot_return.end, elapsed_ms)
    outliers.record_attempt(world, now_ms, row.upstream, siblings, end)
    return row


def on_holder_lost(
    world: world_module.World, now_ms: float, lost: ids.EntryRef
) -> None:
    """Shorten the leases of a lost entry to one mean service time.

    Its upstreams may still be processing its requests for that long.
    """
    for row in list(world.queues.grants.values()):
        if is_run_of(row.ask_id.asker, lost):
            early_expiry_ms = now_ms + admission.service_time_ms(
                world, row.service
            )
            _expire_at(world, row, min(row.expires_ms, early_expiry_ms))


def _record_service_time(
    world: world_module.World,
    service: ids.ServiceId,
    end: models.SlotEnd,
    elapsed_ms: float,
) -> None:
    match end:
        case models.SlotEnd.SERVED:
            admission.record_service_time(world, service, elapsed_ms)
        case models.SlotEnd.TIMED_OUT:
            # Without timeouts the measured time would be biased downwards.
            longest_ms = _timeout_failure_ms(world, service)
            admission.record_service_time(
                world, service, min(elapsed_ms, longest_ms)
            )


def _timeout_failure_ms(
    world: world_module.World, service: ids.ServiceId
) -> float:
    service_time_ms = admission.service_time_ms(world, service)
    return service_time_ms * const.TIMEOUT_FAILURE_SERVICE_TIMES


def _end_for_health(
    world: world_module.World,
    row: models.GrantRow,
    end: models.SlotEnd,
    elapsed_ms: float,
) -> models.SlotEnd:
    """Count a timeout as a failure only if the upstream had enough time."""
    if end is not models.SlotEnd.TIMED_OUT:
        return end
    if elapsed_ms < _timeout_failure_ms(world, row.service):
        return models.SlotEnd.UNUSED
    return models.SlotEnd.FAILED


def is_run_of(asker: ids.EntryRef, lost: ids.EntryRef) -> bool:
    """Return whether ``asker`` is the ``lost`` run or an earlier one."""
    return asker.entry == lost.entry and asker.incarnation <= lost.incarnation


def _add_grant(world: world_module.World, row: models.GrantRow) -> None:
    queues = world.queues
    queues.grants[row.ask_id] = row
    in_use = queues.in_use.get(row.upstream, 0) + 1
    queues.in_use[row.upstream] = in_use
    queues.in_use_peaks[row.upstream] = max(
        in_use, queues.in_use_peaks.get(row.upstream, 0)
    )
    timer = timers.QueueExpiry(row.ask_id)
    timers.start(world.timers, timer, row.expires_ms)


def _remove_grant(world: world_module.World, row: models.GrantRow) -> None:
    del world.queues.grants[row.ask_id]
    world.queues.in_use[row.upstream] -= 1
    timers.stop(world.timers, timers.QueueExpiry(row.ask_id))


def _expire_at(
    world: world_module.World, row: models.GrantRow, expires_ms: float
) -> None:
    world.queues.grants[row.ask_id] = row._replace(expires_ms=expires_ms)
    timer = timers.QueueExpiry(row.ask_id)
    timers.start(world.timers, timer, expires_ms)
