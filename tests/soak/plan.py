"""Draw the faults of a run from a seed."""

import operator
import random

from soak import const
from soak import models


def schedule(seed, seconds):
    """Return the start time of each fault of a seed, in ms, and the fault.

    Each part has a generator of its own, so that the draws of the others and
    those of callers don't change it.
    """
    return sorted(
        (
            *faults(random.Random(seed), seconds),
            *rolling_restart(random.Random(f'rolling {seed}'), seconds),
        ),
        key=operator.itemgetter(0),
    )


def faults(draw, seconds):
    """Yield the start time of each fault, in ms, and the fault."""
    last_ms = seconds * const.MS_PER_S
    last_ms -= const.RECOVERY_MS + const.LAST_CHECK_MS
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
    last_ms = seconds * const.MS_PER_S
    last_ms -= const.RECOVERY_MS + const.LAST_CHECK_MS
    last_ms -= gap_ms * len(stops) + max(map(duration_ms, stops))
    if last_ms <= const.FIRST_FAULT_MS:
        return
    first_ms = draw.uniform(const.FIRST_FAULT_MS, last_ms)
    for number, stop in enumerate(stops):
        yield first_ms + number * gap_ms, stop


def duration_ms(fault):
    """Return the time until a fault is over and has taken effect, in ms."""
    match fault:
        case models.Kill(_, down_ms, _):
            return down_ms
        case models.Stop(_, down_ms):
            return const.GRACE_MS + const.EXIT_SLACK_MS + down_ms
        case models.Replace(_, missing_ms):
            return missing_ms
        case models.Reload() | models.Configure() | models.Drain():
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
