"""Choose upstreams, and move objects abroad slowly when home is full."""

from collections import abc

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.placement import abroad
from zinnialead_core.gateway.placement import cold
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.placement import orders
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core import timers as timer_table


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Forget orders that changed; balance between regions; writes loads."""
    for item in inputs:
        match item:
            case inp.Started():
                _next_round(world, now_ms)
            case inp.TimerDue(timers.BalanceRound()):
                abroad.balance(world, now_ms)
                _next_round(world, now_ms)
            case inp.UpstreamDropped(upstream):
                world.loads.pop(upstream, None)
                world.placement.cold_sent.pop(upstream, None)
                world.placement.orders.clear()
            case (
                inp.UpstreamSeen()
                | inp.UpstreamsListed()
                | inp.DrainSeen()
                | inp.DrainGone()
                | inp.DrainsListed()
            ):
                world.placement.orders.clear()
    yield from ()


def choose(
    world: world_module.World, now_ms: float, wanted: models.Wanted
) -> ids.UpstreamId | None:
    """Return the upstream that a request is sent to, None without room."""
    near, far = orders.of_object(world, wanted)
    if far and near and _is_abroad(world, wanted):
        near, far = far, near
    chosen = _pick(world, now_ms, wanted, near)
    if chosen is not None or not far:
        return chosen
    if near and not abroad.may_overflow(world, wanted.service):
        return None
    return _pick(world, now_ms, wanted, far)


def _is_abroad(world: world_module.World, wanted: models.Wanted) -> bool:
    share = abroad.of(world, wanted.service).share
    if share <= 0.0:
        return False
    return orders.share_of(f'abroad|{wanted.object_key}') < share


def _pick(
    world: world_module.World,
    now_ms: float,
    wanted: models.Wanted,
    order: tuple[ids.UpstreamId, ...],
) -> ids.UpstreamId | None:
    """Return the preferred upstream, another one only if that is busy.

    An object waits less behind others where it is remembered than it is
    worked on longer elsewhere.
    """
    rank = min(wanted.rank, len(const.ROOM_BY_RANK) - 1)
    spread = max(
        1, min(const.SPREAD_MAX, int(len(order) * const.SPREAD_SHARE))
    )
    best: ids.UpstreamId | None = None
    least = const.ROOM_BY_RANK[rank]
    limit = const.PREFERRED_ROOM[rank]
    for upstream in order:
        if upstream in wanted.tried or loads.is_out(world, now_ms, upstream):
            continue
        if spread == 0 and (best or rank > const.IDLE_RANK_MAX):
            break
        if spread == 0:
            least = min(least, const.IDLE_ROOM)
        load = loads.believed(world, now_ms, upstream)
        if loads.is_suspect(world, upstream):
            load += const.SUSPECT_LOAD
        spread = max(0, spread - 1)
        if load >= least or not cold.may_send(world, now_ms, upstream):
            continue
        if load < limit:
            return upstream
        limit = const.OTHER_ROOM[rank]
        best, least = upstream, load - const.LOAD_APART
    return best


def _next_round(world: world_module.World, now_ms: float) -> None:
    due_ms = now_ms + const.BALANCE_PERIOD_MS
    timer_table.start(world.timers, timers.BalanceRound(), due_ms)
