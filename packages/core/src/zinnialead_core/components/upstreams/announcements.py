"""Leave alone the upstreams that announce to leave or ask for a pause.

The entry that got an announcement uses the upstream no more at once, and
passes it on to the owner of the upstream's slots, which grants none of them
until the pause is over or a later poll shows a run that does not leave.  If
that message is lost, a grant shows so, and it is sent again.
"""

from collections import abc

from zinnialead_core.components.slots import ownership
from zinnialead_core.components.upstreams import const
from zinnialead_core.components.upstreams import messages
from zinnialead_core.components.upstreams import models
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import notices
from zinnialead_core.notices import pauses
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


def is_left_alone(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> bool:
    """Return whether an upstream's answers say to send it nothing now."""
    row = world.upstreams.get(upstream)
    if row is not None and row.announced_ms is not None:
        return True
    return pauses.is_paused(world.pauses, now_ms, upstream)


def apply(
    world: world_module.World, now_ms: float, event: inp.UpstreamAnnounced
) -> abc.Iterator[out.Output]:
    """Apply an announcement and pass it on to the owner of the slots."""
    if not _is_in_force(world, event.upstream, event.address):
        return
    was_leaving = _is_announced(world, event.upstream)
    pause_end_ms = pauses.end_ms(world.pauses, event.upstream)
    cause = f'answer to {event.name}'
    match event.notice:
        case notices.Leaves():
            yield from _leave(world, now_ms, event.upstream, cause)
        case notices.Pauses(pause_ms):
            yield from _pause(world, now_ms, event.upstream, pause_ms, cause)
        case notices.UnreadablePause(text):
            pauses.count_unreadable(world.pauses, world.counters)
            yield _log(
                event.upstream,
                'in service',
                f'in service, unreadable pause {text!r}, {cause}',
            )
    if was_leaving != _is_announced(
        world, event.upstream
    ) or pause_end_ms != pauses.end_ms(world.pauses, event.upstream):
        yield from tell_owner(world, now_ms, event.upstream)


def receive(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    message: messages.UpstreamNotice,
) -> abc.Iterator[out.Output]:
    """Apply an announcement that another entry got, unless it is outdated."""
    if not _is_in_force(world, message.upstream, message.address):
        return
    cause = f'told by {sender.entry}'
    match message.notice:
        case notices.Leaves() if _was_polled_since(
            world, now_ms, message.upstream, message.age_ms
        ):
            world.counters['upstreams.notices_outdated'] += 1
        case notices.Leaves():
            yield from _leave(world, now_ms, message.upstream, cause)
        case notices.Pauses(pause_ms):
            yield from _pause(world, now_ms, message.upstream, pause_ms, cause)


def tell_owner(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> abc.Iterator[out.Output]:
    """Tell the owner of an upstream's slots what the upstream announced."""
    declared = world.states['in-force'].upstreams.get(upstream)
    if declared is None:
        return
    owner = ownership.owner_of(
        world, now_ms, declared.service, declared.domain
    )
    if owner is None or owner == world.node.ref.entry:
        return
    row = world.upstreams.get(upstream)
    if row is not None and row.announced_ms is not None:
        yield out.SendPeer(
            owner,
            messages.UpstreamNotice(
                upstream,
                declared.address,
                notices.Leaves(),
                now_ms - row.announced_ms,
            ),
        )
    pause_ms = pauses.left_ms(world.pauses, now_ms, upstream)
    if pause_ms > 0.0:
        yield out.SendPeer(
            owner,
            messages.UpstreamNotice(
                upstream, declared.address, notices.Pauses(pause_ms), 0.0
            ),
        )


def tell_owners(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Tell owners, which may have changed, of all that is left alone here."""
    for upstream in world.upstreams:
        if is_left_alone(world, now_ms, upstream):
            yield from tell_owner(world, now_ms, upstream)


def after_report(
    row: models.HealthRow, report: inp.UpstreamReport
) -> models.HealthRow:
    """Return a row after a poll, which may show the upstream's next run.

    A run that leaves says so in each answer, so that a sound answer to a
    later poll is of a run that doesn't.
    """
    if not report.healthy or report.leaving or report.asked_ms <= 0.0:
        return row
    row = row._replace(polled_ms=report.asked_ms)
    if row.announced_ms is not None and report.asked_ms > row.announced_ms:
        return row._replace(announced_ms=None)
    return row


def polled_ago_ms(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> int | None:
    """Return when the last poll began that showed a run in service."""
    row = world.upstreams.get(upstream)
    if row is None or row.polled_ms is None:
        return None
    return max(0, round(now_ms - row.polled_ms))


def on_granted(
    world: world_module.World,
    now_ms: float,
    upstream: ids.UpstreamId,
    owner_polled_ago_ms: int | None,
) -> abc.Iterator[out.Output]:
    """Use an upstream again if its owner polled it since it left."""
    row = world.upstreams.get(upstream)
    if row is None or row.announced_ms is None or owner_polled_ago_ms is None:
        return
    age_ms = now_ms - row.announced_ms
    if owner_polled_ago_ms + const.NOTICE_MARGIN_MS < age_ms:
        world.upstreams[upstream] = row._replace(announced_ms=None)
        yield _log(upstream, 'leaving', 'in service')


def end_pause(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> abc.Iterator[out.Output]:
    """End a pause that is over; the slots ramp up from there."""
    if pauses.end_due(world.pauses, now_ms, upstream):
        yield _log(upstream, 'paused', 'in service')


def _leave(
    world: world_module.World,
    now_ms: float,
    upstream: ids.UpstreamId,
    cause: str,
) -> abc.Iterator[out.Output]:
    row = world.upstreams.get(upstream) or models.HealthRow(upstream)
    world.upstreams[upstream] = row._replace(announced_ms=now_ms)
    if row.announced_ms is None:
        world.counters['upstreams.announced_leaving'] += 1
        yield _log(upstream, 'in service', f'leaving, {cause}')


def _pause(
    world: world_module.World,
    now_ms: float,
    upstream: ids.UpstreamId,
    pause_ms: float,
    cause: str,
) -> abc.Iterator[out.Output]:
    was_paused = pauses.is_paused(world.pauses, now_ms, upstream)
    if not pauses.begin(
        world.pauses, world.counters, now_ms, upstream, pause_ms
    ):
        return
    end_ms = pauses.end_ms(world.pauses, upstream)
    timers.start(world.timers, timers.UpstreamDue(upstream), end_ms)
    row = world.upstreams.get(upstream) or models.HealthRow(upstream)
    world.upstreams[upstream] = row._replace(ramp_start_ms=end_ms)
    if not was_paused:
        after = f'paused for {pause_ms:.0f} ms, {cause}'
        yield _log(upstream, 'in service', after)


def _is_in_force(
    world: world_module.World, upstream: ids.UpstreamId, address: str
) -> bool:
    """Return whether an upstream is still at the address that announced."""
    declared = world.states['in-force'].upstreams.get(upstream)
    return declared is not None and declared.address == address


def _is_announced(world: world_module.World, upstream: ids.UpstreamId) -> bool:
    row = world.upstreams.get(upstream)
    return row is not None and row.announced_ms is not None


def _was_polled_since(
    world: world_module.World,
    now_ms: float,
    upstream: ids.UpstreamId,
    age_ms: float,
) -> bool:
    ago_ms = polled_ago_ms(world, now_ms, upstream)
    return ago_ms is not None and ago_ms + const.NOTICE_MARGIN_MS < age_ms


def _log(upstream: ids.UpstreamId, before: str, after: str) -> out.LogChange:
    return out.LogChange('upstreams', str(upstream), before, after)
