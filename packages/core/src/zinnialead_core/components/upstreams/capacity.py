"""Estimate how many slots of an upstream may be used."""

from zinnialead_core.components.upstreams import const
from zinnialead_core.components.upstreams import models


def usable_slots(
    health: models.HealthRow | None, declared: int, now_ms: float
) -> int:
    """Return how many slots of an upstream may be in use now.

    >>> usable_slots(None, 5, 0.0)
    5
    >>> usable_slots(models.HealthRow('a', leaving=True), 5, 0.0)
    0
    """
    if health is None:
        return declared
    if is_leaving(health) or now_ms < health.out_until_ms:
        return 0
    if health.on_trial:
        return min(1, declared)
    usable = min(
        _slots_in_ramp(health, declared, now_ms),
        _slots_after_shed(health, declared, now_ms),
        _slots_after_report(health, declared, now_ms),
    )
    return min(declared, max(1, int(usable)))


def is_leaving(health: models.HealthRow | None) -> bool:
    """Return whether an upstream reports or announced that it leaves."""
    if health is None:
        return False
    return health.leaving or health.announced_ms is not None


def _slots_in_ramp(
    health: models.HealthRow, declared: int, now_ms: float
) -> float:
    if health.ramp_start_ms is None:
        return declared
    return declared * (now_ms - health.ramp_start_ms) / const.RAMP_MS


def _slots_after_shed(
    health: models.HealthRow, declared: int, now_ms: float
) -> float:
    if health.shed_limit is None:
        return declared
    recovered = (now_ms - health.shed_ms) / const.RECOVERY_MS_PER_SLOT
    return health.shed_limit + recovered


def _slots_after_report(
    health: models.HealthRow, declared: int, now_ms: float
) -> float:
    if health.reported_ms is None or health.excess == 0:
        return declared
    if now_ms - health.reported_ms > const.REPORT_STALE_MS:
        return declared
    if health.repeated_reports >= const.REPORT_FROZEN_COUNT:
        return declared
    return declared - min(health.excess, declared * const.EXCESS_SHARE_MAX)
