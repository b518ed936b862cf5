"""Draw the faults of a run from a seed."""

import operator
import random

from soak import const
from soak import models
from zinnialead_standins import store as stores

# A new route, and the drain of the upstream that joined last.
LATER_CHANGES = (models.Configure(is_new=True), models.Drain(-1))


def schedule(seed, seconds):
    """Return the start time of each fault of a seed, in ms, and the fault.

    Each part has a generator of its own, so that the draws of the others and
    those of callers don't change it.  Even seeds restart entries in a row;
    odd seeds let the store come back from a copy.  Every fifth seed loses
    the readers of a region at once, again and again; in every seventh one,
    upstreams start again under their ids, one after the other.
    """
    if seed % 2:
        series = drill(random.Random(f'drill {seed}'), seconds)
    else:
        series = rolling_restart(random.Random(f'rolling {seed}'), seconds)
    losses = ()
    if seed % const.READERS_LOST_SEED_INTERVAL == 0:
        losses = reader_losses(random.Random(f'readers {seed}'), seconds)
    restarts = ()
    if seed % const.RESTARTS_SEED_INTERVAL == 0:
        restarts = upstream_restarts(random.Random(f'starts {seed}'), seconds)
    return sorted(
        (*faults(random.Random(seed), seconds), *series, *losses, *restarts),
        key=operator.itemgetter(0),
    )


def faults(draw, seconds):
    """Yield the start time of each fault, in ms, and the fault."""
    last_ms = _last_ms(seconds)
    at_ms = const.FIRST_FAULT_MS
    while at_ms < last_ms:
        fault = _draw_fault(draw)
        # Every fault ends before the recovery time at the end of a run.
        if at_ms + duration_ms(fault) <= last_ms:
            yield at_ms, fault
        # One time in four, the next fault starts at the same time.
        if draw.random() < 0.75:
            at_ms += draw.expovariate(1.0) * const.MEAN_FAULT_GAP_MS


def rolling_restart(draw, seconds):
    """Yield the start time of each stop, in ms, and the stop."""
    gap_ms = const.GRACE_MS * draw.uniform(*const.ROLLING_GAP_PARTS)
    entries = draw.sample(const.ENTRIES, len(const.ENTRIES))
    stops = [models.Stop(x, draw.uniform(50.0, 500.0)) for x in entries]
    last_ms = _last_ms(seconds)
    last_ms -= gap_ms * len(stops) + max(map(duration_ms, stops))
    if last_ms <= const.FIRST_FAULT_MS:
        return
    first_ms = draw.uniform(const.FIRST_FAULT_MS, last_ms)
    for number, stop in enumerate(stops):
        yield first_ms + number * gap_ms, stop


def reader_losses(draw, seconds):
    """Yield losses of a region's readers, with changes at that moment."""
    losses = (
        models.ReadersKilled,
        models.ReadersPaused,
        models.ReadersSilenced,
    )
    at_ms = const.FIRST_FAULT_MS
    while at_ms + const.READERS_LOST_MS[1] <= _last_ms(seconds):
        loss = draw.choice(losses)
        region = draw.choice(tuple(const.DOMAINS.values()))
        duration_ms = draw.uniform(*const.READERS_LOST_MS)
        yield at_ms, loss(region, duration_ms)
        for is_new in (False, True):
            change_ms = at_ms + draw.uniform(0.0, duration_ms / 2.0)
            yield change_ms, models.Configure(is_new)
        at_ms += duration_ms + draw.uniform(0.0, const.STABLE_WINDOW_MS)


def upstream_restarts(draw, seconds):
    """Yield restarts of upstreams; some strike while the store is away."""
    at_ms = const.FIRST_FAULT_MS
    while at_ms + const.RESTART_DOWN_MS[1] <= _last_ms(seconds):
        index = draw.randrange(sum(const.SERVICES.values()))
        down_ms = draw.uniform(*const.RESTART_DOWN_MS)
        registered_ms = draw.uniform(*const.RESTART_REGISTERED_MS)
        yield at_ms, models.RestartUpstream(index, down_ms, registered_ms)
        at_ms += draw.uniform(*const.RESTART_GAP_MS)


def drill(draw, seconds):
    """Yield faults before, while and after the store comes from a copy."""
    condition = draw.choice((stores.Down(), models.Reset(), models.Silent()))
    copy_age_ms = draw.uniform(*const.COPY_AGES_MS)
    away_ms = draw.choice(const.AWAY_MS) * draw.uniform(0.8, 1.2)
    last_ms = _last_ms(seconds)
    last_return_ms = last_ms - const.DRILL_AFTER_MS - const.CONFIG_APPLY_MS
    latest_ms = last_return_ms - away_ms
    if latest_ms <= const.FIRST_FAULT_MS:
        return
    first_ms = const.FIRST_FAULT_MS + copy_age_ms / 2.0
    restored_ms = draw.uniform(min(first_ms, latest_ms), latest_ms)
    yield (
        restored_ms,
        models.StoreRestored(condition, copy_age_ms, away_ms),
    )
    copied_ms = max(const.FIRST_FAULT_MS, restored_ms - copy_age_ms)
    return_ms = restored_ms + away_ms
    # What the copy lacks, and changes that get the same revisions again.
    before = (*_lost_changes(draw), *_drill_faults(draw))
    after = (*LATER_CHANGES, *_drill_faults(draw))
    times = (
        *((draw.uniform(copied_ms, return_ms), fault) for fault in before),
        *(
            (return_ms + draw.uniform(0.0, const.DRILL_AFTER_MS), fault)
            for fault in after
        ),
    )
    for at_ms, fault in times:
        if at_ms + duration_ms(fault) <= last_ms:
            yield at_ms, fault


def _lost_changes(draw):
    """Yield changes that raise the revision more than writing them again."""
    for _ in range(2):
        entries = draw.sample(const.ENTRIES, len(const.ENTRIES) - 1)
        yield models.Kill(tuple(entries), draw.uniform(50.0, 500.0))
    for is_new in (False, False, True):
        yield models.Configure(is_new)
    domain = draw.choice(tuple(const.DOMAINS))
    yield models.Join(draw.choice(tuple(const.SERVICES)), domain)


def _drill_faults(draw):
    for _ in range(draw.randrange(*const.DRILL_FAULT_COUNTS)):
        yield _draw_drill_fault(draw)


def _last_ms(seconds):
    """Return when every fault has ended, before the time to recover."""
    last_ms = seconds * const.MS_PER_S
    return last_ms - const.RECOVERY_MS - const.LAST_CHECK_MS


def duration_ms(fault):
    """Return the time until a fault is over and has taken effect, in ms."""
    match fault:
        case models.Kill(_, down_ms, _):
            return down_ms
        case models.Stop(_, down_ms):
            return const.GRACE_MS + const.EXIT_SLACK_MS + down_ms
        case models.Replace(_, missing_ms):
            return missing_ms
        case (
            models.Reload()
            | models.Configure()
            | models.Drain()
            | models.Join()
        ):
            return const.CONFIG_APPLY_MS
        case _:
            return fault.duration_ms


def _draw_fault(draw):
    entry = draw.choice(const.ENTRIES)
    entries = tuple(draw.sample(const.ENTRIES, draw.choice((1, 2, 5))))
    fault_ms = draw.uniform(300.0, 5_000.0)
    down_ms = draw.uniform(50.0, 2_000.0)
    endpoint_index = draw.randrange(sum(const.SERVICES.values()))
    condition = draw.choice(
        (
            models.Delayed(draw.uniform(50.0, 1_500.0)),
            models.Silent(),
            models.OneWay(),
            models.Reset(),
        )
    )
    store_condition = draw.choice(
        ('down', 'busy', 'silent', 'lost', 'deaf', 'compacted')
    )
    clock_offset_ms = draw.choice((0, 0, -60_000, 60_000))
    domain = draw.choice(tuple(const.DOMAINS))
    # Stop and Configure are listed twice, so they are drawn twice as often.
    return draw.choice(
        (
            models.Kill((entry,), down_ms, clock_offset_ms),
            models.Kill(entries, down_ms, clock_offset_ms),
            models.Stop(entry, down_ms),
            models.Stop(entry, down_ms),
            models.Pause(entry, fault_ms),
            models.Reload(entry),
            models.StoreFault(store_condition, fault_ms),
            models.StoreLink(entries, condition, fault_ms),
            models.FrontLink(entry, condition, fault_ms),
            models.UpstreamLink(endpoint_index, condition, fault_ms),
            models.Replace(endpoint_index, down_ms),
            models.Drain(endpoint_index),
            models.Evacuate(domain, fault_ms),
            models.Configure(is_new=draw.random() < 0.5),
            models.Configure(is_new=draw.random() < 0.5),
        )
    )


def _draw_drill_fault(draw):
    entry = draw.choice(const.ENTRIES)
    entries = tuple(draw.sample(const.ENTRIES, draw.choice((1, 3, 5))))
    domain = draw.choice(tuple(const.DOMAINS))
    endpoint_index = draw.randrange(
        -const.JOINED_LAST, sum(const.SERVICES.values())
    )
    return draw.choice(
        (
            models.Kill(entries, draw.uniform(50.0, 500.0)),
            models.Stop(entry, draw.uniform(50.0, 500.0)),
            models.Configure(is_new=True),
            models.Configure(is_new=True),
            models.Configure(is_new=False),
            models.Drain(endpoint_index),
            models.Drain(endpoint_index, is_announced=False),
            models.Join(draw.choice(tuple(const.SERVICES)), domain),
            models.Join(draw.choice(tuple(const.SERVICES)), domain),
            models.Evacuate(domain, draw.uniform(3_000.0, 8_000.0)),
        )
    )
