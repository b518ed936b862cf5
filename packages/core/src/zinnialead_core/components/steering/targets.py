"""Choose the slot owner for an ask and the upstream for a grant."""

import xxhash

from zinnialead_core.components import members
from zinnialead_core import ids
from zinnialead_core import world as world_module


def slot_owner(
    world: world_module.World,
    service: ids.ServiceId,
    domain: ids.DomainId,
) -> ids.EntryId | None:
    """Return the entry that owns a service's slots in a domain.

    It is the live entry of the domain with the highest weight in
    rendezvous hashing, so that a death moves only the dead entry's part.
    """
    alive = [
        row.entry
        for row in world.members.values()
        if row.domain == domain and row.health is members.Health.ALIVE
    ]
    if not alive:
        return None
    return max(alive, key=lambda entry: _weight(service, entry))


def free_upstream(
    world: world_module.World, service: ids.ServiceId
) -> ids.UpstreamId | None:
    """Return the upstream of this domain with the most free slots."""
    in_use = world.queues.in_use
    state = world.states['in-force']
    free = [
        (row.slots - in_use.get(row.upstream, 0), row.upstream)
        for row in state.upstreams.values()
        if row.service == service and row.domain == world.node.domain
    ]
    most, upstream = max(free, default=(0, None))
    return upstream if most > 0 else None


def _weight(service: ids.ServiceId, entry: ids.EntryId) -> int:
    return xxhash.xxh3_64_intdigest(f'{service}/{entry}'.encode())
