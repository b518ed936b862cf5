"""Believe upstreams' loads from attempts and from what they tell."""

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core import verdict

NOTHING = models.LoadRow()


def of(world: world_module.World, upstream: ids.UpstreamId) -> models.LoadRow:
    """Return what is believed of an upstream's load."""
    return world.loads.get(upstream, NOTHING)


def believed(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> float:
    """Return the load of an upstream over its slots."""
    load = of(world, upstream)
    slots = world.upstreams.rows[upstream].slots
    age = (now_ms - load.told_ms) / const.TOLD_MAX_AGE_MS
    others = load.others * max(0.0, 1.0 - age)
    return (load.in_flight + others) / max(1, slots)


def started(world: world_module.World, upstream: ids.UpstreamId) -> None:
    """Count an attempt that begins."""
    load = of(world, upstream)
    world.loads[upstream] = load._replace(in_flight=load.in_flight + 1)


def ended(
    world: world_module.World,
    now_ms: float,
    upstream: ids.UpstreamId,
    route: str,
    item: inp.AttemptDone,
) -> None:
    """Take in how an attempt ended and what the upstream told."""
    load = of(world, upstream)
    load = load._replace(in_flight=max(0, load.in_flight - 1))
    if item.load is not None:
        told = item.load.running + item.load.waiting
        others = max(0.0, float(told - load.in_flight - 1))
        load = load._replace(others=others, told_ms=now_ms)
    match item.outcome:
        case verdict.Answered(status) if status < 500:
            load = _well(world, now_ms, upstream, load)
            load = _paced(world, load, route, item.elapsed_ms)
        case verdict.Answered():
            load = load._replace(failing=_more_failing(load), failures=0)
        case verdict.Shed():
            load = _shed(now_ms, load)
        case verdict.NotSent() if item.misdirected:
            # Another upstream has the address: this one is gone.
            load = load._replace(out_until_ms=now_ms + const.OUT_MAX_MS)
        case verdict.NotSent():
            load = _failed(now_ms, load, 1)
        case verdict.Lost() if item.cancelled:
            load = _cut_off(world, load, route, item.elapsed_ms)
        case verdict.Lost():
            load = _failed(now_ms, load, const.LOST_IN_A_ROW)
        case verdict.NeverStarted():
            pass
    world.loads[upstream] = load


def is_out(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> bool:
    """Return whether an upstream gets nothing after failures in a row."""
    return of(world, upstream).out_until_ms > now_ms


def is_suspect(world: world_module.World, upstream: ids.UpstreamId) -> bool:
    """Return whether an upstream fails often or is slow."""
    load = of(world, upstream)
    return load.failing > const.FAILING_MAX or load.pace > const.PACE_MAX


def fade(world: world_module.World) -> None:
    """Forget a part of what is held against upstreams."""
    for upstream, load in list(world.loads.items()):
        if load.failing > const.FADE or load.pace > 1.0 + const.FADE:
            world.loads[upstream] = load._replace(
                failing=load.failing * (1.0 - const.FADE),
                pace=load.pace + const.FADE * (1.0 - load.pace),
            )


def _well(
    world: world_module.World,
    now_ms: float,
    upstream: ids.UpstreamId,
    load: models.LoadRow,
) -> models.LoadRow:
    if load.failures >= const.LOST_IN_A_ROW:
        # It was away, and may have come back cold.
        row = world.upstreams.rows.get(upstream)
        if row is not None:
            warm_ms = upstreams.warm_up_ms(world, row.service)
            upstreams.set_cold(world, now_ms, upstream, warm_ms)
    return load._replace(
        failures=0, out_until_ms=0.0, failing=_mean(load.failing, 0.0)
    )


def _paced(
    world: world_module.World,
    load: models.LoadRow,
    route: str,
    elapsed_ms: float,
) -> models.LoadRow:
    usual = world.placement.usual_ms
    known_ms = usual.get(route, elapsed_ms)
    usual[route] = known_ms + const.USUAL_WEIGHT * (elapsed_ms - known_ms)
    over = elapsed_ms / max(1.0, usual[route])
    return load._replace(pace=_mean(load.pace, over))


def _cut_off(
    world: world_module.World,
    load: models.LoadRow,
    route: str,
    elapsed_ms: float,
) -> models.LoadRow:
    """Count an attempt that this entry ended for slow if it was long."""
    usual_ms = world.placement.usual_ms.get(route, elapsed_ms)
    if elapsed_ms < const.PACE_MAX * usual_ms:
        return load
    return load._replace(failing=_more_failing(load))


def _shed(now_ms: float, load: models.LoadRow) -> models.LoadRow:
    """Count a refusal as a failure, and keep its load as fresh."""
    return load._replace(failing=_more_failing(load), told_ms=now_ms)


def _failed(
    now_ms: float, load: models.LoadRow, in_a_row: int
) -> models.LoadRow:
    failures = load.failures + 1
    load = load._replace(failures=failures, failing=_more_failing(load))
    if failures < in_a_row:
        return load
    doublings = min(8, failures - in_a_row)
    out_ms = min(const.OUT_MAX_MS, const.OUT_MIN_MS * 2**doublings)
    return load._replace(out_until_ms=now_ms + out_ms)


def _more_failing(load: models.LoadRow) -> float:
    return load.failing + const.FAILURE_WEIGHT * (1.0 - load.failing)


def _mean(known: float, latest: float) -> float:
    return known + const.MEAN_WEIGHT * (latest - known)
