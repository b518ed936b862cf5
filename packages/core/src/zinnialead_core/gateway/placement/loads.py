"""Estimate upstreams' loads from attempts and from reported loads."""

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.placement import peer_load
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core.notices import pauses
from zinnialead_core import verdict

NO_LOAD = models.LoadRow()


def get(world: world_module.World, upstream: ids.UpstreamId) -> models.LoadRow:
    """Return the load row of an upstream, an empty one if it has none."""
    return world.loads.get(upstream, NO_LOAD)


def estimate(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> float:
    """Return the estimated load of an upstream in requests per slot.

    Where work takes long, other entries' load is expected as far as no
    recent report tells it.
    """
    load = get(world, upstream)
    row = world.upstreams.rows[upstream]
    in_progress_ms = _in_progress_ms(world, row.service)
    known = _known_share(load, now_ms, in_progress_ms)
    unreported = min(1.0, in_progress_ms / const.REPORTED_LOAD_AGE_MIN_MS)
    expected = peer_load.expected(
        world, row.service, row.domain, load.in_flight
    )
    others = known * load.others + (1.0 - known) * unreported * expected
    return (load.in_flight + others) / max(1, row.slots)


def known_load(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> float:
    """Return the load of an upstream that is known, in requests per slot."""
    load = get(world, upstream)
    row = world.upstreams.rows[upstream]
    in_progress_ms = _in_progress_ms(world, row.service)
    others = load.others * _known_share(load, now_ms, in_progress_ms)
    return (load.in_flight + others) / max(1, row.slots)


def report_age_ms(now_ms: float, load: models.LoadRow) -> int | None:
    """Return the age of an upstream's last report, None if it made none."""
    if load.told_ms == models.NEVER_MS:
        return None
    return round(now_ms - load.told_ms)


def _known_share(
    load: models.LoadRow, now_ms: float, in_progress_ms: float
) -> float:
    """Return the share of a reported load that still counts at its age."""
    age_max_ms = min(
        const.REPORTED_LOAD_AGE_MAX_MS,
        max(
            const.REPORTED_LOAD_AGE_MIN_MS,
            const.REPORTED_LOAD_AGE_TIMES * in_progress_ms,
        ),
    )
    return max(0.0, 1.0 - (now_ms - load.told_ms) / age_max_ms)


def _in_progress_ms(
    world: world_module.World, service: ids.ServiceId
) -> float:
    """Return the mean time of a service's work in progress.

    Long work is a larger part of it than it is of all requests.
    """
    work = world.placement.work.get(service)
    return work.mean_square / max(1.0, work.mean_ms) if work else 0.0


def record_start(world: world_module.World, upstream: ids.UpstreamId) -> None:
    """Count an attempt that begins."""
    load = get(world, upstream)
    world.loads[upstream] = load._replace(in_flight=load.in_flight + 1)


def record_end(
    world: world_module.World,
    now_ms: float,
    upstream: ids.UpstreamId,
    route: str,
    result: inp.AttemptDone,
) -> None:
    """Update an upstream's row from an attempt's result."""
    load = get(world, upstream)
    load = load._replace(in_flight=max(0, load.in_flight - 1))
    if result.load is not None:
        load = _record_report(now_ms, load, result.load)
    match result.outcome:
        case verdict.Answered(status) if status < 500:
            load = _record_success(load)
            _record_work(world, upstream, result.elapsed_ms)
            load = _record_pace(world, now_ms, load, route, result.elapsed_ms)
        case verdict.Answered():
            load = load._replace(failing=_raised_failing(load), failures=0)
        case verdict.Shed():
            load = _record_shed(now_ms, load)
        case verdict.NotSent() if result.misdirected:
            # Another upstream has taken over the address: this one is gone.
            load = load._replace(out_until_ms=now_ms + const.EJECTION_MAX_MS)
        case verdict.NotSent() if result.cancelled:
            # It was cancelled for its caller's sake, not the upstream's.
            pass
        case verdict.NotSent():
            load = _record_failure(now_ms, load, 1)
        case verdict.Lost() if result.cancelled:
            load = _record_cancelled(
                world, now_ms, load, route, result.elapsed_ms
            )
        case verdict.Lost():
            load = _record_failure(now_ms, load, const.LOST_BEFORE_EJECTION)
        case verdict.NeverStarted() | verdict.Unsendable():
            pass
    world.loads[upstream] = load


def _record_report(
    now_ms: float, load: models.LoadRow, reported: inp.ReportedLoad
) -> models.LoadRow:
    """Update a row from a report, which still includes the ended attempt."""
    others = reported.running + reported.waiting - load.in_flight - 1
    return load._replace(
        others=max(0.0, float(others)),
        told_ms=now_ms,
        work_time_ratio=_work_time_ratio(reported),
    )


def record_stray(world: world_module.World, upstream: ids.UpstreamId) -> None:
    """Count bytes that answer no request as a failure."""
    load = get(world, upstream)
    world.loads[upstream] = load._replace(failing=_raised_failing(load))


def eject(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> None:
    """Eject an upstream at once, for longer after each failure in a row."""
    load = get(world, upstream)
    world.loads[upstream] = _record_failure(now_ms, load, 1)


def is_excluded(
    world: world_module.World, now_ms: float, upstream: ids.UpstreamId
) -> bool:
    """Return whether an upstream gets no work now, whatever its load."""
    return excluded_until_ms(world, upstream) > now_ms


def excluded_until_ms(
    world: world_module.World, upstream: ids.UpstreamId
) -> float:
    """Return when an ejection or a pause of an upstream ends, 0 for none."""
    load = get(world, upstream)
    return max(load.out_until_ms, pauses.end_ms(world.pauses, upstream))


def is_suspect(world: world_module.World, upstream: ids.UpstreamId) -> bool:
    """Return whether an upstream fails often or is slow."""
    load = get(world, upstream)
    return load.failing > const.FAILING_MAX or load.pace > const.PACE_MAX


def decay(world: world_module.World) -> None:
    """Let upstreams' failure rates and slowness decay by one step."""
    for upstream, load in list(world.loads.items()):
        if load.failing > const.DECAY or load.pace > 1.0 + const.DECAY:
            world.loads[upstream] = load._replace(
                failing=load.failing * (1.0 - const.DECAY),
                pace=load.pace + const.DECAY * (1.0 - load.pace),
            )


def _record_success(load: models.LoadRow) -> models.LoadRow:
    failing = _moving_mean(load.failing, 0.0)
    if load.faulty_until_ms:
        # Some answers of a faulty upstream are sound all the same.
        return load._replace(failures=0, failing=failing)
    return load._replace(failures=0, out_until_ms=0.0, failing=failing)


def _record_work(
    world: world_module.World, upstream: ids.UpstreamId, elapsed_ms: float
) -> None:
    """Update the means of the service's times."""
    row = world.upstreams.rows.get(upstream)
    if row is None:
        return
    square = elapsed_ms * elapsed_ms
    work = world.placement.work.get(row.service)
    if work is None:
        work = models.WorkRow(elapsed_ms, square)
    weight = const.SERVICE_TIME_WEIGHT
    world.placement.work[row.service] = models.WorkRow(
        work.mean_ms + weight * (elapsed_ms - work.mean_ms),
        work.mean_square + weight * (square - work.mean_square),
    )


def _record_pace(
    world: world_module.World,
    now_ms: float,
    load: models.LoadRow,
    route: str,
    elapsed_ms: float,
) -> models.LoadRow:
    """Update the route's mean service time and the upstream's pace.

    What slows the upstream's whole machine is not its own slowness.
    """
    means = world.placement.mean_service_ms
    mean_ms = means.get(route, elapsed_ms)
    means[route] = mean_ms + const.SERVICE_TIME_WEIGHT * (elapsed_ms - mean_ms)
    pace = elapsed_ms / max(1.0, means[route])
    if load.told_ms == now_ms:
        pace /= load.work_time_ratio
    return load._replace(pace=_moving_mean(load.pace, pace))


def _record_cancelled(
    world: world_module.World,
    now_ms: float,
    load: models.LoadRow,
    route: str,
    elapsed_ms: float,
) -> models.LoadRow:
    """Count a cancelled attempt as a failure if it was slow."""
    mean_ms = world.placement.mean_service_ms.get(route, elapsed_ms)
    if load.told_ms >= now_ms - elapsed_ms:
        mean_ms *= load.work_time_ratio
    if elapsed_ms < const.PACE_MAX * mean_ms:
        return load
    return load._replace(failing=_raised_failing(load))


def _record_shed(now_ms: float, load: models.LoadRow) -> models.LoadRow:
    """Count a shed as a failure; the last reported load stays current."""
    return load._replace(failing=_raised_failing(load), told_ms=now_ms)


def _record_failure(
    now_ms: float, load: models.LoadRow, ejection_threshold: int
) -> models.LoadRow:
    """Count a failure; eject the upstream from the threshold on."""
    failures = load.failures + 1
    load = load._replace(failures=failures, failing=_raised_failing(load))
    if failures < ejection_threshold:
        return load
    doublings = min(8, failures - ejection_threshold)
    ejection_ms = min(
        const.EJECTION_MAX_MS, const.EJECTION_MIN_MS * 2**doublings
    )
    return load._replace(out_until_ms=now_ms + ejection_ms)


def _work_time_ratio(reported: inp.ReportedLoad) -> float:
    """Return the reported work time relative to the usual one, at least 1."""
    if reported.work_time_percent is None:
        return 1.0
    ratio = reported.work_time_percent / const.USUAL_WORK_TIME_PERCENT
    return min(const.WORK_TIME_RATIO_MAX, max(1.0, ratio))


def _raised_failing(load: models.LoadRow) -> float:
    return load.failing + const.FAILURE_WEIGHT * (1.0 - load.failing)


def _moving_mean(mean: float, latest: float) -> float:
    return mean + const.MEAN_WEIGHT * (latest - mean)
