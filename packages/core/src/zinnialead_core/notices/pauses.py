"""Leave upstreams alone for as long as they ask for it."""

import collections

from zinnialead_core import ids
from zinnialead_core.notices import const
from zinnialead_core.notices import models


def begin(
    table: models.PauseTable,
    counters: collections.Counter[str],
    now_ms: float,
    upstream: ids.UpstreamId,
    pause_ms: float,
) -> bool:
    """Begin a pause or extend it, and return whether it ends later now.

    A shorter pause doesn't end a longer one sooner, and a very long one is
    cut, so that no upstream is lost for good.
    """
    counters[f'{table.component}.pauses'] += 1
    if pause_ms > const.PAUSE_MAX_MS:
        counters[f'{table.component}.pauses_cut'] += 1
    until_ms = now_ms + min(pause_ms, const.PAUSE_MAX_MS)
    if until_ms <= end_ms(table, upstream):
        return False
    table.until_ms[upstream] = until_ms
    return True


def count_unreadable(
    table: models.PauseTable, counters: collections.Counter[str]
) -> None:
    """Count a pause of unreadable length, which is not kept."""
    counters[f'{table.component}.unreadable_pauses'] += 1


def end_ms(table: models.PauseTable, upstream: ids.UpstreamId) -> float:
    """Return when an upstream's last pause ends or ended, 0 without one."""
    return table.until_ms.get(upstream, 0.0)


def left_ms(
    table: models.PauseTable, now_ms: float, upstream: ids.UpstreamId
) -> float:
    """Return how long an upstream still pauses, 0 if it doesn't."""
    return max(0.0, end_ms(table, upstream) - now_ms)


def is_paused(
    table: models.PauseTable, now_ms: float, upstream: ids.UpstreamId
) -> bool:
    """Return whether an upstream wants no requests now."""
    return end_ms(table, upstream) > now_ms


def end_due(
    table: models.PauseTable, now_ms: float, upstream: ids.UpstreamId
) -> bool:
    """Remove a pause that is over, and return whether there was one."""
    if upstream not in table.until_ms or is_paused(table, now_ms, upstream):
        return False
    del table.until_ms[upstream]
    return True


def forget(table: models.PauseTable, upstream: ids.UpstreamId) -> None:
    """Remove the pause of an upstream whose run has ended."""
    table.until_ms.pop(upstream, None)
