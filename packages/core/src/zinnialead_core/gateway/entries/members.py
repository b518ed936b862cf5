"""Determine which entries are live, and build this one's heartbeat."""

from collections import abc

from zinnialead_core.gateway.entries import const
from zinnialead_core.gateway.entries import models
from zinnialead_core.gateway.entries import ranking
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway.store import models as store
from zinnialead_core.gateway.store import positions
from zinnialead_core.gateway.store import readers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids


def is_live(
    world: world_module.World, now_ms: float, row: models.EntryRow
) -> bool:
    """Return whether an entry sent a heartbeat lately and takes callers."""
    if row.entry == world.node.ref.entry:
        return not world.entries.leaving and is_ready(world)
    last = world.entries.heartbeats.get(row.entry)
    if last is None or last.heartbeat.leaving or not last.heartbeat.ready:
        return False
    silence_max_ms = const.SILENCE_MAX_MS
    if row.region != world.node.region:
        silence_max_ms = const.REMOTE_SILENCE_MAX_MS
    return now_ms - last.received_ms <= silence_max_ms


def is_ready(world: world_module.World) -> bool:
    """Return whether this entry is ready to serve callers."""
    if world.entries.leaving:
        return False
    return routes.active_configuration(world) is not None and bool(
        world.upstreams.rows
    )


def is_silent(
    world: world_module.World, now_ms: float, row: models.EntryRow
) -> bool:
    """Return whether an entry is leaving or has sent no heartbeat lately.

    An entry that has just registered is not silent yet.
    """
    last = world.entries.heartbeats.get(row.entry)
    if last is not None and last.heartbeat.leaving:
        return True
    return silence_ms(world, now_ms, row.entry) > const.SILENCE_MAX_MS


def silence_ms(
    world: world_module.World, now_ms: float, entry: ids.EntryId
) -> float:
    """Return the time since an entry's last heartbeat or registration."""
    last = world.entries.heartbeats.get(entry)
    since_ms = world.entries.seen_ms.get(entry, now_ms)
    return now_ms - max(since_ms, last.received_ms if last else 0.0)


def present_in_region(world: world_module.World, now_ms: float) -> list[str]:
    """Return the names of this region's entries that may be running.

    They are sorted, and entries that start together agree on them before
    the first heartbeats arrive.
    """
    names = [str(row.entry) for row in _present_peers(world, now_ms)]
    return sorted([*names, str(world.node.ref.entry)])


def sends_to_remote_regions(world: world_module.World, now_ms: float) -> bool:
    """Return whether this entry sends heartbeats to other regions."""
    present = _present_peers(world, now_ms)
    return ranking.count_ahead(world, present) < const.REMOTE_SENDERS


def has_callers(world: world_module.World) -> bool:
    """Return whether this entry gets requests at a notable rate."""
    return world.entries.traffic[0].requests_per_s >= const.USED_MIN_PER_S


def peer_traffic_ratio(world: world_module.World, now_ms: float) -> float:
    """Return the traffic of the region's other entries per this one's.

    An entry with less than their mean counts as one of them.
    """
    rates_per_s = [
        row.heartbeat.requests_per_s
        for peer in _present_peers(world, now_ms)
        if (row := world.entries.heartbeats.get(peer.entry)) is not None
        and row.heartbeat.requests_per_s >= const.USED_MIN_PER_S
    ]
    if not rates_per_s:
        return 0.0
    total_per_s = sum(rates_per_s)
    own_per_s = world.entries.traffic[0].requests_per_s
    return total_per_s / max(own_per_s, total_per_s / len(rates_per_s))


def peer_addresses(
    world: world_module.World, now_ms: float
) -> tuple[str, ...]:
    """Return the addresses of the region's other entries that may run."""
    present = _present_peers(world, now_ms)
    return tuple(row.peer_address for row in present)


def _present_peers(
    world: world_module.World, now_ms: float
) -> abc.Iterator[models.EntryRow]:
    """Yield the other entries of the region that may be running."""
    for row in ranking.region_peers(world):
        if not is_silent(world, now_ms, row):
            yield row


def own_row(world: world_module.World) -> models.EntryRow:
    """Return this entry's registration, with its last known revision."""
    node = world.node
    registered = world.entries.rows.get(node.ref.entry)
    return models.EntryRow(
        node.ref.entry,
        node.ref.incarnation,
        node.domain,
        node.region,
        node.front_address,
        node.peer_address,
        registered.revision if registered else 0,
        node.speed,
    )


def own_heartbeat(
    world: world_module.World, now_ms: float
) -> models.Heartbeat:
    """Return this entry's current heartbeat."""
    ref = world.node.ref
    leaving = bool(world.entries.leaving)
    return models.Heartbeat(
        ref.entry,
        ref.incarnation,
        leaving,
        is_ready(world),
        tuple(positions.latest(world, kind) for kind in world.store.watches),
        readers.may_read(world, now_ms),
        world.entries.traffic[0].requests_per_s,
        world.store.health[store.STORE].era,
    )


def announce(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Tell the region at once how far this entry knows the store.

    A reader tells other regions as well.
    """
    peers = peer_addresses(world, now_ms)
    if peers:
        yield out.SendHeartbeat(peers, own_heartbeat(world, now_ms))
    if readers.is_reader(world, now_ms):
        yield from announce_remotely(world, now_ms)


def announce_remotely(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Tell some entries of each other region how far this one knows.

    They tell their region if its own readers do not.
    """
    contacts = tuple(_remote_contacts(world))
    if contacts:
        yield out.SendHeartbeat(contacts, own_heartbeat(world, now_ms))


def _remote_contacts(world: world_module.World) -> abc.Iterator[str]:
    """Yield addresses of each other region's entries, in several domains."""
    rows_by_region: dict[ids.RegionId, list[models.EntryRow]] = {}
    for row in world.entries.rows.values():
        if row.region != world.node.region:
            rows_by_region.setdefault(row.region, []).append(row)
    for rows in rows_by_region.values():
        world.random.shuffle(rows)
        for row in ranking.spread(rows)[: const.REMOTE_CONTACTS]:
            yield row.peer_address
