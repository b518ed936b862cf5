"""Decide which share of a service's objects other regions serve.

The share moves in small steps, so that few requests change their region
at a time.  It jumps only when the local region loses capacity, because
its objects move then in any case.
"""

from collections import abc
import typing

from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.placement import rendezvous
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids


class RegionSplit(typing.NamedTuple):
    """Hold a figure for the local and the remote regions of a service."""

    local: float
    remote: float
    region_count: int


def get(
    world: world_module.World, service: ids.ServiceId
) -> models.RemoteShareRow:
    """Return a service's remote share, derived from slots at first."""
    row = world.placement.remote_shares.get(service)
    if row is None:
        slots = _slots(world, service)
        row = models.RemoteShareRow(
            _fair_share(slots), local_slots=int(slots.local)
        )
        world.placement.remote_shares[service] = row
    return row


def add_credit(world: world_module.World, service: ids.ServiceId) -> None:
    """Add one request's credit for requests that may leave the region."""
    row = get(world, service)
    credit = min(const.CREDIT_MAX, row.credit + const.CREDIT_PER_REQUEST)
    world.placement.remote_shares[service] = row._replace(credit=credit)


def take_credit(world: world_module.World, service: ids.ServiceId) -> bool:
    """Take the credit of one request; return False if there is not enough."""
    row = get(world, service)
    if row.credit < 1.0:
        return False
    charged = row._replace(credit=row.credit - 1.0)
    world.placement.remote_shares[service] = charged
    return True


def rebalance(world: world_module.World, now_ms: float) -> None:
    """Move each service's remote share one step towards equal loads."""
    for service, row in list(world.placement.remote_shares.items()):
        slots = _slots(world, service)
        share = row.share
        if slots.local < const.CAPACITY_LOSS_SHARE * row.local_slots:
            share = max(share, _fair_share(slots))
        load = _mean_loads(world, now_ms, service)
        if load.local > const.LOCAL_LOAD_HIGH and load.local > load.remote:
            share = min(1.0, share + const.REMOTE_SHARE_STEP_UP)
        elif load.local < const.LOCAL_LOAD_LOW:
            share = max(0.0, share - const.REMOTE_SHARE_STEP_DOWN)
        world.placement.remote_shares[service] = row._replace(
            share=share, local_slots=int(slots.local)
        )


def _fair_share(slots: RegionSplit) -> float:
    """Return the remote share if every region has the same demand."""
    total = slots.local + slots.remote
    if total == 0.0 or slots.local == 0.0:
        return 0.0
    return max(0.0, 1.0 - slots.region_count * slots.local / total)


def _slots(world: world_module.World, service: ids.ServiceId) -> RegionSplit:
    own_region = world.node.region
    regions = rendezvous.service_row(world, service).regions
    local = regions[own_region].slots if own_region in regions else 0
    total = sum(row.slots for row in regions.values())
    return RegionSplit(local, total - local, _region_count(world))


def _mean_loads(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> RegionSplit:
    """Return the mean load of the local and of the remote upstreams."""
    regions = rendezvous.service_row(world, service).regions
    local: list[float] = []
    remote: list[float] = []
    for region, row in regions.items():
        values = local if region == world.node.region else remote
        values.extend(_loads(world, now_ms, row))
    return RegionSplit(
        sum(local) / max(1, len(local)),
        sum(remote) / max(1, len(remote)),
        _region_count(world),
    )


def _loads(
    world: world_module.World, now_ms: float, row: models.RegionRow
) -> abc.Iterator[float]:
    """Yield the load of each upstream of a region that is not excluded."""
    for upstream in row.upstreams:
        if upstream not in world.loads:
            yield 0.0
        elif not loads.is_excluded(world, now_ms, upstream):
            yield loads.known_load(world, now_ms, upstream)


def _region_count(world: world_module.World) -> int:
    return len(set(world.node.regions.values()))
