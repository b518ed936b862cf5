"""Determine the slot owners of services by rendezvous hashing."""

import typing

import xxhash

from zinnialead_core.components import members
from zinnialead_core import ids
from zinnialead_core import world as world_module


class Target(typing.NamedTuple):
    """Hold the slot owner to ask and the domain whose slots it owns."""

    entry: ids.EntryId
    domain: ids.DomainId


def slot_owner(
    world: world_module.World,
    service: ids.ServiceId,
    domain: ids.DomainId,
) -> ids.EntryId | None:
    """Return the entry that owns a service's slots in a domain.

    It is the live entry of the domain with the highest weight in
    rendezvous hashing, so that the loss of an entry moves only its own
    services.  A leaving entry is the owner only if no other entry can be.
    """
    rows = [row for row in world.members.values() if row.domain == domain]
    leaving_health = members.Health.LEAVING
    alive = [
        row.entry
        for row in rows
        if row.health is members.Health.ALIVE and not _is_stopping(world, row)
    ]
    leaving = [
        row.entry
        for row in rows
        if row.health is leaving_health or _is_stopping(world, row)
    ]
    entries = alive or leaving
    if not entries:
        return None
    return max(entries, key=lambda entry: _hash_weight(service, entry))


def _is_stopping(world: world_module.World, row: members.MemberRow) -> bool:
    is_self = row.entry == world.node.ref.entry
    return is_self and bool(world.requests.stopping)


def _hash_weight(service: ids.ServiceId, entry: ids.EntryId) -> int:
    return xxhash.xxh3_64_intdigest(f'{service}/{entry}'.encode())
