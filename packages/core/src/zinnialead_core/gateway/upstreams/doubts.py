"""Doubt runs of upstreams that only a restored store still shows.

A copy of the store shows runs that have ended since, and earlier runs of
upstreams that have started again.  If one of them is alive after all, its
registration outlasts the time after which that of a dead one expires.
"""

from zinnialead_core.gateway.store import models as store_models
from zinnialead_core.gateway import timers
from zinnialead_core.gateway.upstreams import const
from zinnialead_core.gateway.upstreams import models
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core import timer_table


def record_end(
    world: world_module.World, now_ms: float, row: models.UpstreamRow
) -> None:
    """Remember that a run was removed; forget those removed long ago."""
    ended = world.upstreams.ended
    oldest_ms = now_ms - const.ENDED_MEMORY_MS
    for upstream in [x for x, y in ended.items() if y.ended_ms < oldest_ms]:
        del ended[upstream]
    ended[row.upstream] = models.EndedRow(row.born_ms, now_ms, row.leaving)


def is_doubtful(
    world: world_module.World, now_ms: float, row: models.UpstreamRow
) -> bool:
    """Return whether a registration may be only that of an older copy."""
    if now_ms >= _doubt_until_ms(world):
        return False
    known = world.upstreams.rows.get(row.upstream)
    if known is not None:
        return row.born_ms < known.born_ms
    ended = world.upstreams.ended.get(row.upstream)
    if ended is None or ended.ended_ms >= _restored_ms(world):
        return False
    return row.born_ms <= ended.born_ms


def hold(world: world_module.World, row: models.UpstreamRow) -> None:
    """Hold a doubtful registration until it can be believed."""
    world.upstreams.doubtful[row.upstream] = row
    timer = timers.DoubtEnd(row.upstream)
    timer_table.start(world.timers, timer, _doubt_until_ms(world))


def release(
    world: world_module.World, upstream: ids.UpstreamId
) -> models.UpstreamRow | None:
    """Return the registration that is held of an upstream, and drop it."""
    timer_table.stop(world.timers, timers.DoubtEnd(upstream))
    return world.upstreams.doubtful.pop(upstream, None)


def _restored_ms(world: world_module.World) -> float:
    return world.store.health[store_models.STORE].restored_ms


def _doubt_until_ms(world: world_module.World) -> float:
    ttl_ms = world.node.registration_ttl_ms
    return _restored_ms(world) + ttl_ms + const.DOUBT_MARGIN_MS
