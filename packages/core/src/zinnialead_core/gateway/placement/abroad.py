"""Decide which share of a service's objects is served abroad.

The share moves slowly, so that few requests change their region at a
time; it jumps only when upstreams come or go, which moves work anyway.
"""

from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids


def of(world: world_module.World, service: ids.ServiceId) -> models.AbroadRow:
    """Return a service's share abroad, worked out from slots at first."""
    row = world.placement.abroad.get(service)
    if row is None:
        near, far, regions = _slots(world, service)
        share = _fair_share(near, far, regions)
        row = models.AbroadRow(share=share, near_slots=near)
        world.placement.abroad[service] = row
    return row


def earn(world: world_module.World, service: ids.ServiceId) -> None:
    """Let a part of a service's requests leave the region out of turn."""
    row = of(world, service)
    earned = min(const.OVERFLOW_MAX, row.overflow + const.OVERFLOW_SHARE)
    world.placement.abroad[service] = row._replace(overflow=earned)


def may_overflow(world: world_module.World, service: ids.ServiceId) -> bool:
    """Return whether one request may leave the region now, and count it."""
    row = of(world, service)
    if row.overflow < 1.0:
        return False
    paid = row._replace(overflow=row.overflow - 1.0)
    world.placement.abroad[service] = paid
    return True


def balance(world: world_module.World, now_ms: float) -> None:
    """Move each service's share by a step towards equal loads."""
    for service, row in list(world.placement.abroad.items()):
        near, far, regions = _slots(world, service)
        if near < const.LOST_SHARE * row.near_slots:
            share = max(row.share, _fair_share(near, far, regions))
            row = row._replace(share=share)
        row = row._replace(near_slots=near)
        near_load, far_load = _loads(world, now_ms, service)
        share = row.share
        if near_load > const.BUSY_LOAD and near_load > far_load:
            share = min(1.0, share + const.STEP_OUT)
        elif near_load < const.IDLE_LOAD:
            share = max(0.0, share - const.STEP_HOME)
        world.placement.abroad[service] = row._replace(share=share)


def _fair_share(near: int, far: int, regions: int) -> float:
    """Return what goes abroad if every region has equal demand."""
    total = near + far
    if total == 0 or near == 0:
        return 0.0
    return max(0.0, 1.0 - regions * near / total)


def _slots(
    world: world_module.World, service: ids.ServiceId
) -> tuple[int, int, int]:
    near = far = 0
    regions = set(world.node.regions.values())
    for row in upstreams.usable(world, service):
        at_home = world.node.regions.get(row.domain) == world.node.region
        near += row.slots if at_home else 0
        far += 0 if at_home else row.slots
    return near, far, len(regions)


def _loads(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> tuple[float, float]:
    """Return the mean loads at home and abroad."""
    sums = {True: 0.0, False: 0.0}
    counts = {True: 0, False: 0}
    for row in upstreams.usable(world, service):
        if loads.is_out(world, now_ms, row.upstream):
            continue
        at_home = world.node.regions.get(row.domain) == world.node.region
        sums[at_home] += loads.believed(world, now_ms, row.upstream)
        counts[at_home] += 1
    return (
        sums[True] / max(1, counts[True]),
        sums[False] / max(1, counts[False]),
    )
