"""Choose upstreams, and shift objects to other regions under load."""

from collections import abc
import itertools

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.placement import cold_rate_limit
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import faults
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.placement import pauses
from zinnialead_core.gateway.placement import peer_load
from zinnialead_core.gateway.placement import remote_share
from zinnialead_core.gateway.placement import rendezvous
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core.notices import pauses as notice_pauses
from zinnialead_core import timer_table


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Rebalance between regions, and track faulty and removed upstreams.

    Reads ``upstreams``; writes ``loads``, ``pauses`` and ``placement``.
    """
    for event in inputs:
        match event:
            case inp.Started():
                _schedule_rebalance(world, now_ms)
            case inp.TimerDue(timers.BalanceRound()):
                remote_share.rebalance(world, now_ms)
                peer_load.update(world, now_ms)
                loads.decay(world)
                yield from faults.expire(world, now_ms)
                _schedule_rebalance(world, now_ms)
            case inp.UpstreamFaulty(address, fault):
                yield from faults.record(world, now_ms, address, fault)
            case inp.UpstreamAnnounced():
                yield from pauses.apply(world, now_ms, event)
            case inp.TimerDue(timers.PauseEnd(upstream)):
                yield from pauses.end(world, now_ms, upstream)
            case inp.UpstreamRestarted(upstream):
                if upstream in world.upstreams.rows:
                    cold_rate_limit.use_up(world, now_ms, upstream)
            case inp.UpstreamRemoved(upstream):
                world.loads.pop(upstream, None)
                notice_pauses.forget(world.pauses, upstream)
                world.placement.cold_sends_ms.pop(upstream, None)


def choose(
    world: world_module.World, now_ms: float, request: models.PlacementRequest
) -> ids.UpstreamId | None:
    """Return the upstream for a request, None if none has capacity."""
    regions = rendezvous.order_regions(world, request)
    if len(regions) > 1 and _is_placed_remotely(world, request):
        regions[0], regions[1] = regions[1], regions[0]
    for index, region in enumerate(regions):
        if index == 1:
            first_group = rendezvous.group(world, request, regions[0])
            if not _may_leave(world, now_ms, request, first_group):
                return None
        group = rendezvous.group(world, request, region)
        chosen = _choose_in_group(world, now_ms, request, group)
        if chosen is not None:
            return chosen
    return None


def available_from_ms(
    world: world_module.World, now_ms: float, request: models.PlacementRequest
) -> float | None:
    """Return when the first upstream for a request is not excluded any more.

    That is now if it is only full, and None if there is no upstream.
    """
    first_ms: float | None = None
    for region in rendezvous.order_regions(world, request):
        for upstream in rendezvous.group(world, request, region):
            if upstream in request.tried_upstreams:
                continue
            until_ms = loads.excluded_until_ms(world, upstream)
            if until_ms <= now_ms:
                return now_ms
            if first_ms is None or until_ms < first_ms:
                first_ms = until_ms
    return first_ms


def _may_leave(
    world: world_module.World,
    now_ms: float,
    request: models.PlacementRequest,
    group: abc.Sequence[ids.UpstreamId],
) -> bool:
    """Return whether a request may leave the region of its object.

    Any request may if no upstream there accepts work, and a few may while
    all are full.  More of them would exceed the bound on requests that
    change their region, and would find their objects cached nowhere.
    """
    if request.tried_upstreams or all(
        loads.is_excluded(world, now_ms, upstream)
        or not cold_rate_limit.may_send(world, now_ms, upstream)
        for upstream in group
    ):
        return True
    return remote_share.take_credit(world, request.service)


def _is_placed_remotely(
    world: world_module.World, request: models.PlacementRequest
) -> bool:
    """Return whether an object of a region with upstreams leaves it."""
    if not rendezvous.group(world, request, world.node.region):
        return False
    share = remote_share.get(world, request.service).share
    if share <= 0.0:
        return False
    return rendezvous.hash_fraction(f'abroad|{request.object_key}') < share


def _choose_in_group(
    world: world_module.World,
    now_ms: float,
    request: models.PlacementRequest,
    group: abc.Sequence[ids.UpstreamId],
) -> ids.UpstreamId | None:
    """Return the preferred upstream, or another one if that is busy.

    Queueing where the object is cached takes less time than uncached work
    on another upstream, up to the preferred upstream's load limit.
    """
    rank = min(request.rank, len(const.LOAD_MAX_BY_RANK) - 1)
    best: ids.UpstreamId | None = None
    load_max = const.LOAD_MAX_BY_RANK[rank]
    accepted_load = const.PREFERRED_LOAD_MAX_BY_RANK[rank]
    candidates = _healthy_first(world, now_ms, request, group)
    for upstream in itertools.islice(candidates, _spread(group)):
        load = loads.estimate(world, now_ms, upstream)
        if load >= load_max or not cold_rate_limit.may_send(
            world, now_ms, upstream
        ):
            continue
        if load < accepted_load:
            return upstream
        accepted_load = const.ALTERNATIVE_LOAD_MAX_BY_RANK[rank]
        best, load_max = upstream, load - const.LOAD_MARGIN
    if best is None and rank <= const.IDLE_RANK_MAX:
        return _first_idle(world, now_ms, candidates)
    return best


def _spread(group: abc.Sequence[ids.UpstreamId]) -> int:
    """Return how many of a region's upstreams an object uses."""
    share = int(len(group) * const.SPREAD_SHARE)
    return max(1, min(const.SPREAD_MAX, share))


def _healthy_first(
    world: world_module.World,
    now_ms: float,
    request: models.PlacementRequest,
    group: abc.Sequence[ids.UpstreamId],
) -> abc.Iterator[ids.UpstreamId]:
    """Yield the upstreams that are neither tried nor excluded, in order.

    Those that fail often or are slow come last.
    """
    suspects: list[ids.UpstreamId] = []
    for upstream in group:
        if upstream in request.tried_upstreams:
            continue
        if loads.is_excluded(world, now_ms, upstream):
            continue
        if loads.is_suspect(world, upstream):
            suspects.append(upstream)
        else:
            yield upstream
    yield from suspects


def _first_idle(
    world: world_module.World,
    now_ms: float,
    candidates: abc.Iterable[ids.UpstreamId],
) -> ids.UpstreamId | None:
    """Return the first upstream that is nearly idle."""
    for upstream in candidates:
        if loads.estimate(world, now_ms, upstream) >= const.IDLE_LOAD_MAX:
            continue
        if cold_rate_limit.may_send(world, now_ms, upstream):
            return upstream
    return None


def _schedule_rebalance(world: world_module.World, now_ms: float) -> None:
    due_ms = now_ms + const.BALANCE_PERIOD_MS
    timer_table.start(world.timers, timers.BalanceRound(), due_ms)
