"""Track which entry owns the slots of a service in a domain."""

from collections import abc

from zinnialead_core.components import members
from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import models
from zinnialead_core.components.slots import rank_queues
from zinnialead_core.components.steering import slot_owners
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


def owner_of(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    domain: ids.DomainId,
) -> ids.EntryId | None:
    """Return the owner of a service's slots, cached for a short time."""
    cached = world.queues.owners.get((service, domain))
    if cached is not None and now_ms < cached.valid_until_ms:
        return cached.owner
    owner = slot_owners.slot_owner(world, service, domain)
    if domain == world.node.domain:
        _record_owner(world, now_ms, service, owner)
    world.queues.owners[service, domain] = models.OwnerRow(
        owner, now_ms + const.OWNER_CACHE_MS
    )
    return owner


def is_owner(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> bool:
    """Return whether this entry owns a service's slots in its domain.

    If no owner is known, this entry acts as the owner.
    """
    owner = owner_of(world, now_ms, service, world.node.domain)
    return owner is None or owner == world.node.ref.entry


def refresh(world: world_module.World, now_ms: float) -> None:
    """Recompute which services' slots this entry owns, and since when."""
    world.queues.owners.clear()
    loads = world.queues.service_loads
    services = world.states['in-force'].services
    for removed in loads.keys() - services.keys():
        del loads[removed]
    for service in services:
        owner_of(world, now_ms, service, world.node.domain)


def take_over(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> None:
    """Record this entry as the owner of a service's slots from now on.

    A forwarded ask causes this too: its sender knows this entry as owner.
    """
    loads = world.queues.service_loads
    row = loads.get(service) or models.ServiceLoadRow(service)
    if row.owned_since_ms is None:
        loads[service] = row._replace(owned_since_ms=now_ms)


def grants_paused_until_ms(
    world: world_module.World, service: ids.ServiceId
) -> float:
    """Return until when a new owner waits for reports of slots in use.

    The only entry of a domain has no reports to wait for.
    """
    row = world.queues.service_loads.get(service)
    if row is None or row.owned_since_ms is None or _is_only_entry(world):
        return 0.0
    return row.owned_since_ms + const.TAKEOVER_PAUSE_MS


def hand_over(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Send slots in use, then queued asks, to their new owners."""
    queues = world.queues
    for grant in list(queues.grants.values()):
        owner = owner_of(world, now_ms, grant.service, world.node.domain)
        if owner in (None, world.node.ref.entry, grant.handed_over_to):
            continue
        handed_over = grant._replace(handed_over_to=owner)
        queues.grants[grant.ask_id] = handed_over
        report = messages.SlotHeldReport(
            grant.ask_id,
            grant.service,
            grant.rank,
            grant.upstream,
            grant.from_domain,
        )
        yield from forward(world, now_ms, grant.service, report)
    for ask in list(queues.queued.values()):
        if not is_owner(world, now_ms, ask.service):
            rank_queues.remove(world, ask.ask_id)
            timers.stop(world.timers, timers.QueueExpiry(ask.ask_id))
            yield from _forward_ask(world, now_ms, ask)


def forward(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    message: messages.SlotAsk | messages.SlotHeldReport | messages.SlotReturn,
) -> abc.Iterator[out.Output]:
    """Forward a message to the owner of a service's slots."""
    owner = owner_of(world, now_ms, service, world.node.domain)
    if owner is not None and owner != world.node.ref.entry:
        yield out.SendPeer(owner, message)


def _forward_ask(
    world: world_module.World, now_ms: float, row: models.QueuedRow
) -> abc.Iterator[out.Output]:
    ask = messages.SlotAsk(
        row.ask_id,
        row.service,
        row.rank,
        row.deadline_ms - now_ms,
        row.from_domain,
        row.avoid,
        forwarded=True,
        tried=row.tried,
        home_region=row.home_region,
        body_bytes=row.body_bytes,
        homeless=row.homeless,
    )
    yield from forward(world, now_ms, row.service, ask)


def _record_owner(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    owner: ids.EntryId | None,
) -> None:
    if owner is None or owner == world.node.ref.entry:
        take_over(world, now_ms, service)
        return
    row = world.queues.service_loads.get(service)
    if row is not None:
        world.queues.service_loads[service] = row._replace(owned_since_ms=None)


def _is_only_entry(world: world_module.World) -> bool:
    return not any(
        row.domain == world.node.domain
        and row.entry != world.node.ref.entry
        and row.health is not members.Health.DEAD
        for row in world.members.values()
    )
