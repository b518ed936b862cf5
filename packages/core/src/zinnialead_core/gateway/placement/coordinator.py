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
    """Balance between regions, and forget upstreams that are gone."""
    for item in inputs:
        match item:
            case inp.Started():
                _next_round(world, now_ms)
            case inp.TimerDue(timers.BalanceRound()):
                abroad.balance(world, now_ms)
                loads.fade(world)
                _next_round(world, now_ms)
            case inp.UpstreamDropped(upstream):
                world.loads.pop(upstream, None)
                world.placement.cold_sent.pop(upstream, None)
    yield from ()


def choose(
    world: world_module.World, now_ms: float, wanted: models.PlacementRequest
) -> ids.UpstreamId | None:
    """Return the upstream that a request is sent to, None without room."""
    order = orders.of_object(world, wanted)
    groups = [order.near, *order.far]
    if order.near and order.far and _is_abroad(world, wanted):
        groups[0], groups[1] = groups[1], groups[0]
    for place, group in enumerate(groups):
        if place == 1 and not _may_leave(world, now_ms, wanted, groups[0]):
            return None
        chosen = _pick(world, now_ms, wanted, group)
        if chosen is not None:
            return chosen
    return None


def _may_leave(
    world: world_module.World,
    now_ms: float,
    wanted: models.PlacementRequest,
    group: tuple[ids.UpstreamId, ...],
) -> bool:
    """Return whether a request may go beyond its steady region.

    It may where nothing there can take it, and a few may where all is
    full: many that moved from moment to moment would break the bound on
    requests that change their region, and be remembered nowhere.
    """
    if wanted.tried or all(
        loads.is_out(world, now_ms, upstream)
        or not cold.may_send(world, now_ms, upstream)
        for upstream in group
    ):
        return True
    return abroad.may_overflow(world, wanted.service)


def _is_abroad(
    world: world_module.World, wanted: models.PlacementRequest
) -> bool:
    share = abroad.of(world, wanted.service).share
    if share <= 0.0:
        return False
    return orders.share_of(f'abroad|{wanted.object_key}') < share


def _pick(
    world: world_module.World,
    now_ms: float,
    wanted: models.PlacementRequest,
    order: tuple[ids.UpstreamId, ...],
) -> ids.UpstreamId | None:
    """Return the preferred upstream, another one only if that is busy.

    An object waits less behind others where it is remembered than it is
    worked on longer elsewhere.
    """
    rank = min(wanted.rank, len(const.ROOM_BY_RANK) - 1)
    best: ids.UpstreamId | None = None
    least = const.ROOM_BY_RANK[rank]
    limit = const.PREFERRED_ROOM[rank]
    candidates = _sound_first(world, _able(world, now_ms, wanted, order))
    spread = _spread(order)
    for upstream in candidates[:spread]:
        load = loads.believed(world, now_ms, upstream)
        if load >= least or not cold.may_send(world, now_ms, upstream):
            continue
        if load < limit:
            return upstream
        limit = const.OTHER_ROOM[rank]
        best, least = upstream, load - const.LOAD_APART
    if best is None and rank <= const.IDLE_RANK_MAX:
        return _idle(world, now_ms, candidates[spread:])
    return best


def _able(
    world: world_module.World,
    now_ms: float,
    wanted: models.PlacementRequest,
    order: tuple[ids.UpstreamId, ...],
) -> abc.Iterator[ids.UpstreamId]:
    for upstream in order:
        if upstream in wanted.tried:
            continue
        if not loads.is_out(world, now_ms, upstream):
            yield upstream


def _spread(order: tuple[ids.UpstreamId, ...]) -> int:
    """Return how many of a region's upstreams an object uses."""
    share = int(len(order) * const.SPREAD_SHARE)
    return max(1, min(const.SPREAD_MAX, share))


def _sound_first(
    world: world_module.World, upstreams: abc.Iterable[ids.UpstreamId]
) -> list[ids.UpstreamId]:
    """Return upstreams with those last that fail often or are slow."""
    return sorted(upstreams, key=lambda name: loads.is_suspect(world, name))


def _idle(
    world: world_module.World,
    now_ms: float,
    candidates: list[ids.UpstreamId],
) -> ids.UpstreamId | None:
    """Return the first upstream that is nearly idle."""
    for upstream in candidates:
        if loads.believed(world, now_ms, upstream) >= const.IDLE_ROOM:
            continue
        if cold.may_send(world, now_ms, upstream):
            return upstream
    return None


def _next_round(world: world_module.World, now_ms: float) -> None:
    due_ms = now_ms + const.BALANCE_PERIOD_MS
    timer_table.start(world.timers, timers.BalanceRound(), due_ms)
