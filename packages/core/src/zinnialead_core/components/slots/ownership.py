"""Know which entry owns the slots of a service in a domain."""

from collections import abc

from zinnialead_core.components import members
from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import lines
from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import models
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
    """Return the owner of a service's slots, worked out a moment ago."""
    known = world.queues.owners.get((service, domain))
    if known is not None and now_ms < known.fresh_until_ms:
        return known.owner
    owner = slot_owners.slot_owner(world, service, domain)
    if domain == world.node.domain:
        _note_owner(world, now_ms, service, owner)
    world.queues.owners[service, domain] = models.OwnerRow(
        owner, now_ms + const.OWNER_CACHE_MS
    )
    return owner


def is_owner(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> bool:
    """Return whether this entry owns a service's slots in its domain.

    An entry that knows of no owner takes itself for it.
    """
    owner = owner_of(world, now_ms, service, world.node.domain)
    return owner is None or owner == world.node.ref.entry


def refresh(world: world_module.World, now_ms: float) -> None:
    """Note which services' slots this entry owns now, and since when."""
    world.queues.owners.clear()
    loads = world.queues.service_loads
    services = world.states['in-force'].services
    for gone in loads.keys() - services.keys():
        del loads[gone]
    for service in services:
        owner_of(world, now_ms, service, world.node.domain)


def take_over(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> None:
    """Take this entry for an owner, since another one does."""
    loads = world.queues.service_loads
    row = loads.get(service) or models.ServiceLoadRow(service)
    if row.owned_ms is None:
        loads[service] = row._replace(owned_ms=now_ms)


def held_until_ms(world: world_module.World, service: ids.ServiceId) -> float:
    """Return until when a new owner waits for reports of slots in use.

    An entry that is alone in its domain has none to wait for.
    """
    row = world.queues.service_loads.get(service)
    if row is None or row.owned_ms is None or _is_alone(world):
        return 0.0
    return row.owned_ms + const.TAKEOVER_MS


def hand_over(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Pass on the slots in use, then the asks, that others own now."""
    queues = world.queues
    for grant in list(queues.grants.values()):
        owner = owner_of(world, now_ms, grant.service, world.node.domain)
        if owner in (None, world.node.ref.entry, grant.passed_to):
            continue
        passed = grant._replace(passed_to=owner)
        queues.grants[grant.ask_id] = passed
        report = messages.SlotHeldReport(
            grant.ask_id,
            grant.service,
            grant.rank,
            grant.upstream,
            grant.from_domain,
        )
        yield from pass_on(world, now_ms, grant.service, report)
    for ask in list(queues.queued.values()):
        if not is_owner(world, now_ms, ask.service):
            lines.leave(world, ask.ask_id)
            timers.stop(world.timers, timers.QueueExpiry(ask.ask_id))
            yield from _pass_ask(world, now_ms, ask)


def pass_on(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    message: messages.SlotAsk | messages.SlotHeldReport | messages.SlotReturn,
) -> abc.Iterator[out.Output]:
    """Send a message on to the owner of a service's slots."""
    owner = owner_of(world, now_ms, service, world.node.domain)
    if owner is not None and owner != world.node.ref.entry:
        yield out.SendPeer(owner, message)


def _pass_ask(
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
    yield from pass_on(world, now_ms, row.service, ask)


def _note_owner(
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
        world.queues.service_loads[service] = row._replace(owned_ms=None)


def _is_alone(world: world_module.World) -> bool:
    return not any(
        row.domain == world.node.domain
        and row.entry != world.node.ref.entry
        and row.health is not members.Health.DEAD
        for row in world.members.values()
    )
