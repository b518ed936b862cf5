"""Choose upstreams, and move objects abroad slowly when home is full."""

from collections import abc

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.placement import cold
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.placement import orders
from zinnialead_core.gateway import timers
from zinnialead_core.gateway.upstreams import coordinator as upstreams
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
                yield from _balance(world, now_ms)
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


def choose(
    world: world_module.World, now_ms: float, wanted: models.Wanted
) -> ids.UpstreamId | None:
    """Return the upstream that a request is sent to, None without room."""
    near, far = orders.of_object(world, wanted)
    abroad = world.placement.abroad.get(wanted.service, models.AbroadRow())
    if far and near and _is_abroad(wanted, abroad):
        near, far = far, near
    chosen = _pick(world, now_ms, wanted, near)
    if chosen is not None or not far:
        return chosen
    if near and not _may_overflow(world, wanted, abroad):
        return None
    return _pick(world, now_ms, wanted, far)


def earn(world: world_module.World, service: ids.ServiceId) -> None:
    """Let a part of a service's requests leave the region out of turn."""
    row = world.placement.abroad.get(service, models.AbroadRow())
    earned = min(const.OVERFLOW_MAX, row.overflow + const.OVERFLOW_SHARE)
    world.placement.abroad[service] = row._replace(overflow=earned)


def _is_abroad(wanted: models.Wanted, abroad: models.AbroadRow) -> bool:
    if abroad.share <= 0.0:
        return False
    return orders.share_of(f'abroad|{wanted.object_key}') < abroad.share


def _may_overflow(
    world: world_module.World,
    wanted: models.Wanted,
    abroad: models.AbroadRow,
) -> bool:
    if abroad.overflow < 1.0:
        return False
    paid = abroad._replace(overflow=abroad.overflow - 1.0)
    world.placement.abroad[wanted.service] = paid
    return True


def _pick(
    world: world_module.World,
    now_ms: float,
    wanted: models.Wanted,
    order: tuple[ids.UpstreamId, ...],
) -> ids.UpstreamId | None:
    """Return the first upstream with room, else the least loaded one."""
    rank = min(wanted.rank, len(const.ROOM_BY_RANK) - 1)
    best: ids.UpstreamId | None = None
    least = const.ROOM_BY_RANK[rank]
    for upstream in order:
        if upstream in wanted.tried or loads.is_out(world, now_ms, upstream):
            continue
        load = loads.believed(world, now_ms, upstream)
        if loads.is_suspect(world, upstream):
            load += 1.0
        if load >= least or not cold.may_send(world, now_ms, upstream):
            continue
        if load < const.PREFERRED_ROOM[rank]:
            return upstream
        best, least = upstream, load
    return best


def _balance(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    for service in list(world.placement.abroad):
        near: list[float] = []
        far: list[float] = []
        for row in upstreams.usable(world, service):
            if loads.is_out(world, now_ms, row.upstream):
                continue
            load = loads.believed(world, now_ms, row.upstream)
            at_home = world.node.regions.get(row.domain) == world.node.region
            (near if at_home else far).append(load)
        if near and far:
            _move(world, service, _average(near), _average(far))
    yield from ()


def _move(
    world: world_module.World,
    service: ids.ServiceId,
    near: float,
    far: float,
) -> None:
    row = world.placement.abroad[service]
    share = row.share
    if near > const.BUSY_LOAD and far < const.IDLE_LOAD:
        share = min(1.0, share + const.BALANCE_STEP)
    elif near < const.IDLE_LOAD or far > const.BUSY_LOAD:
        share = max(0.0, share - const.BALANCE_STEP)
    world.placement.abroad[service] = row._replace(share=share)


def _average(values: list[float]) -> float:
    return sum(values) / len(values)


def _next_round(world: world_module.World, now_ms: float) -> None:
    due_ms = now_ms + const.BALANCE_PERIOD_MS
    timer_table.start(world.timers, timers.BalanceRound(), due_ms)
