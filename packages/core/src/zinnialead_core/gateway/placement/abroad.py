"""Decide which share of a service's objects is served abroad.

The share moves slowly, so that few requests change their region at a
time; it jumps only when upstreams come or go, which moves work anyway.
"""

import typing

from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids


class Sides(typing.NamedTuple):
    """Hold a figure of a service at home and abroad, and the regions."""

    near: float
    far: float
    regions: int


def of(
    world: world_module.World, service: ids.ServiceId
) -> models.RemoteShareRow:
    """Return a service's share abroad, worked out from slots at first."""
    row = world.placement.remote_shares.get(service)
    if row is None:
        slots = _slots(world, service)
        row = models.RemoteShareRow(
            _fair_share(slots), near_slots=int(slots.near)
        )
        world.placement.remote_shares[service] = row
    return row


def earn(world: world_module.World, service: ids.ServiceId) -> None:
    """Let a part of a service's requests leave the region out of turn."""
    row = of(world, service)
    earned = min(const.OVERFLOW_MAX, row.overflow + const.OVERFLOW_SHARE)
    world.placement.remote_shares[service] = row._replace(overflow=earned)


def may_overflow(world: world_module.World, service: ids.ServiceId) -> bool:
    """Return whether one request may leave the region now, and count it."""
    row = of(world, service)
    if row.overflow < 1.0:
        return False
    paid = row._replace(overflow=row.overflow - 1.0)
    world.placement.remote_shares[service] = paid
    return True


def balance(world: world_module.World, now_ms: float) -> None:
    """Move each service's share by a step towards equal loads."""
    for service, row in list(world.placement.remote_shares.items()):
        slots = _slots(world, service)
        share = row.share
        if slots.near < const.LOST_SHARE * row.near_slots:
            share = max(share, _fair_share(slots))
        load = _loads(world, now_ms, service)
        if load.near > const.BUSY_LOAD and load.near > load.far:
            share = min(1.0, share + const.STEP_OUT)
        elif load.near < const.IDLE_LOAD:
            share = max(0.0, share - const.STEP_HOME)
        world.placement.remote_shares[service] = row._replace(
            share=share, near_slots=int(slots.near)
        )


def _fair_share(slots: Sides) -> float:
    """Return what goes abroad if every region has equal demand."""
    total = slots.near + slots.far
    if total == 0.0 or slots.near == 0.0:
        return 0.0
    return max(0.0, 1.0 - slots.regions * slots.near / total)


def _slots(world: world_module.World, service: ids.ServiceId) -> Sides:
    regions = world.node.regions
    near = far = 0.0
    for row in upstreams.usable(world, service):
        if regions.get(row.domain) == world.node.region:
            near += row.slots
        else:
            far += row.slots
    return Sides(near, far, len(set(regions.values())))


def _loads(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> Sides:
    """Return the mean loads of the upstreams at home and abroad."""
    regions = world.node.regions
    near: list[float] = []
    far: list[float] = []
    for row in upstreams.usable(world, service):
        if loads.is_out(world, now_ms, row.upstream):
            continue
        side = near if regions.get(row.domain) == world.node.region else far
        side.append(loads.believed(world, now_ms, row.upstream))
    return Sides(
        sum(near) / max(1, len(near)),
        sum(far) / max(1, len(far)),
        len(set(regions.values())),
    )
