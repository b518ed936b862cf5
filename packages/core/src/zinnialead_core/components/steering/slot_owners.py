"""Name the slot owners of services in domains."""

import typing

import xxhash

from zinnialead_core.components import members
from zinnialead_core import ids
from zinnialead_core import world as world_module


class Target(typing.NamedTuple):
    """Name the slot owner to ask and the domain that it owns slots in."""

    entry: ids.EntryId
    domain: ids.DomainId


def slot_owner(
    world: world_module.World,
    service: ids.ServiceId,
    domain: ids.DomainId,
) -> ids.EntryId | None:
    """Return the entry that owns a service's slots in a domain.

    It is the live entry of the domain with the highest weight in
    rendezvous hashing, so that a death moves only the dead entry's part.
    A leaving entry owns slots only where no other entry can.
    """
    rows = [row for row in world.members.values() if row.domain == domain]
    leaving = members.Health.LEAVING
    alive = [
        row.entry
        for row in rows
        if row.health is members.Health.ALIVE and not _is_stopping(world, row)
    ]
    last = [
        row.entry
        for row in rows
        if row.health is leaving or _is_stopping(world, row)
    ]
    entries = alive or last
    if not entries:
        return None
    return max(entries, key=lambda entry: _weight(service, entry))


def _is_stopping(world: world_module.World, row: members.MemberRow) -> bool:
    itself = row.entry == world.node.ref.entry
    return itself and bool(world.requests.stopping)


def _weight(service: ids.ServiceId, entry: ids.EntryId) -> int:
    return xxhash.xxh3_64_intdigest(f'{service}/{entry}'.encode())
