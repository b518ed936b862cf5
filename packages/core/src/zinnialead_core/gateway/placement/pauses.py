"""Leave upstreams alone for as long as they ask for it."""

from collections import abc

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core import notices
from zinnialead_core.notices import pauses
from zinnialead_core import timer_table


def apply(
    world: world_module.World, now_ms: float, event: inp.UpstreamAnnounced
) -> abc.Iterator[out.Output]:
    """Apply the pause that an answer announces, if it does."""
    if event.is_misdirected or event.upstream not in world.upstreams.rows:
        return
    match event.notice:
        case notices.Pauses(pause_ms):
            yield from _pause(world, now_ms, event, pause_ms)
        case notices.UnreadablePause(text):
            pauses.count_unreadable(world.pauses, world.counters)
            yield _log(event.upstream, 'in service', 'in service', repr(text))


def end(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> abc.Iterator[out.Output]:
    """End a pause; the upstream counts as full and returns as that decays.

    The most urgent requests return first, since they accept a higher load.
    """
    row = world.upstreams.rows.get(upstream)
    if row is None or not pauses.end_due(world.pauses, now_ms, upstream):
        return
    world.loads[upstream] = loads.get(world, upstream)._replace(
        others=float(row.slots), told_ms=now_ms
    )
    yield _log(upstream, 'paused', 'in service', 'its pause is over')


def _pause(
    world: world_module.World,
    now_ms: float,
    event: inp.UpstreamAnnounced,
    pause_ms: float,
) -> abc.Iterator[out.Output]:
    upstream = event.upstream
    was_paused = pauses.is_paused(world.pauses, now_ms, upstream)
    if not pauses.begin(
        world.pauses, world.counters, now_ms, upstream, pause_ms
    ):
        return
    timer = timers.PauseEnd(upstream)
    due_ms = pauses.end_ms(world.pauses, upstream)
    timer_table.start(world.timers, timer, due_ms)
    if not was_paused:
        cause = f'{pause_ms:.0f} ms, answer to {event.name}'
        yield _log(upstream, 'in service', 'paused', cause)


def _log(
    upstream: ids.UpstreamId, before: str, after: str, cause: str
) -> out.LogStateChange:
    return out.LogStateChange('placement', upstream, before, after, cause)
