"""Leave upstreams alone for as long as they ask for it."""

from collections import abc

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway import timers
from zinnialead_core.gateway.upstreams import models as upstreams
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core import timers as timer_table


def apply(
    world: world_module.World, now_ms: float, event: inp.UpstreamAnnounced
) -> abc.Iterator[out.Output]:
    """Apply the pause that an answer announces, if it does."""
    if event.is_misdirected or event.upstream not in world.upstreams.rows:
        return
    match event.notice:
        case upstreams.Pauses(pause_ms):
            yield from _pause(world, now_ms, event, pause_ms)
        case upstreams.UnreadablePause(text):
            world.counters['placement.unreadable_pauses'] += 1
            yield _log(event.upstream, 'in service', 'in service', repr(text))


def end(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> abc.Iterator[out.Output]:
    """End a pause; the upstream counts as full and returns as that decays.

    The most urgent requests return first, since they accept a higher load.
    """
    load = world.loads.get(upstream)
    row = world.upstreams.rows.get(upstream)
    if load is None or row is None or load.paused_until_ms > now_ms:
        return
    world.loads[upstream] = load._replace(
        paused_until_ms=0.0, others=float(row.slots), told_ms=now_ms
    )
    yield _log(upstream, 'paused', 'in service', 'its pause is over')


def _pause(
    world: world_module.World,
    now_ms: float,
    event: inp.UpstreamAnnounced,
    pause_ms: float,
) -> abc.Iterator[out.Output]:
    """Begin a pause or extend it; a shorter one does not end it sooner."""
    load = loads.get(world, event.upstream)
    until_ms = now_ms + min(pause_ms, const.PAUSE_MAX_MS)
    world.counters['placement.pauses'] += 1
    if pause_ms > const.PAUSE_MAX_MS:
        world.counters['placement.pauses_cut'] += 1
    if until_ms <= load.paused_until_ms:
        return
    world.loads[event.upstream] = load._replace(paused_until_ms=until_ms)
    timer = timers.PauseEnd(event.upstream)
    timer_table.start(world.timers, timer, until_ms)
    if load.paused_until_ms <= now_ms:
        cause = f'{pause_ms:.0f} ms, answer to {event.name}'
        yield _log(event.upstream, 'in service', 'paused', cause)


def _log(
    upstream: ids.UpstreamId, before: str, after: str, cause: str
) -> out.LogStateChange:
    return out.LogStateChange('placement', upstream, before, after, cause)
