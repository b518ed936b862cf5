"""Say which entries run, take callers, and how this one describes itself."""

from collections import abc

from zinnialead_core.gateway.entries import const
from zinnialead_core.gateway.entries import models
from zinnialead_core.gateway.entries import order
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway.store import readers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids


def is_live(
    world: world_module.World, now_ms: float, row: models.EntryRow
) -> bool:
    """Return whether an entry was heard lately and takes callers."""
    if row.entry == world.node.ref.entry:
        return not world.entries.leaving and is_ready(world)
    heard = world.entries.heard.get(row.entry)
    if heard is None or heard.beat.leaving or not heard.beat.ready:
        return False
    silence_ms = const.SILENCE_MAX_MS
    if row.region != world.node.region:
        silence_ms = const.FOREIGN_SILENCE_MAX_MS
    return now_ms - heard.heard_ms <= silence_ms


def is_ready(world: world_module.World) -> bool:
    """Return whether this entry may be given callers."""
    if world.entries.leaving:
        return False
    return routes.active_configuration(world) is not None and bool(
        world.upstreams.rows
    )


def is_silent(
    world: world_module.World, now_ms: float, row: models.EntryRow
) -> bool:
    """Return whether an entry is leaving, or was not heard for long.

    One that has just been seen for the first time is not silent yet.
    """
    heard = world.entries.heard.get(row.entry)
    if heard is not None and heard.beat.leaving:
        return True
    return silence_ms(world, now_ms, row.entry) > const.SILENCE_MAX_MS


def silence_ms(
    world: world_module.World, now_ms: float, entry: ids.EntryId
) -> float:
    """Return the time since an entry was heard or first seen."""
    heard = world.entries.heard.get(entry)
    since_ms = world.entries.seen_ms.get(entry, now_ms)
    return now_ms - max(since_ms, heard.heard_ms if heard else 0.0)


def present_in_region(world: world_module.World, now_ms: float) -> list[str]:
    """Return this region's entries that may be running, by name.

    Entries that start at once agree on these before they hear each other.
    """
    names = [str(row.entry) for row in _present_others(world, now_ms)]
    return sorted([*names, str(world.node.ref.entry)])


def is_speaker(world: world_module.World, now_ms: float) -> bool:
    """Return whether this entry is one of those that other regions hear."""
    present = _present_others(world, now_ms)
    return order.count_before(world, present) < const.SPEAKERS


def has_callers(world: world_module.World) -> bool:
    """Return whether callers use this entry."""
    return world.entries.traffic[0].per_s >= const.CALLERS_MIN_PER_S


def speed(world: world_module.World, entry: ids.EntryId) -> float:
    """Return an entry's processor time in s a second."""
    if entry == world.node.ref.entry:
        return world.node.speed
    row = world.entries.rows.get(entry)
    return row.speed if row else 1.0


def neighbours(world: world_module.World, now_ms: float) -> tuple[str, ...]:
    """Return where the region's other entries that may run are reached."""
    present = _present_others(world, now_ms)
    return tuple(row.peer_address for row in present)


def _present_others(
    world: world_module.World, now_ms: float
) -> abc.Iterator[models.EntryRow]:
    """Yield the other entries of the region that may be running."""
    for row in order.others(world):
        if not is_silent(world, now_ms, row):
            yield row


def own_row(world: world_module.World) -> models.EntryRow:
    """Return this entry as it registers, at the revision that is known."""
    node = world.node
    known = world.entries.rows.get(node.ref.entry)
    return models.EntryRow(
        node.ref.entry,
        node.ref.incarnation,
        node.domain,
        node.region,
        node.front_address,
        node.peer_address,
        known.revision if known else 0,
        node.speed,
    )


def own_beat(world: world_module.World, now_ms: float) -> models.Beat:
    """Return this entry's heartbeat as of now."""
    ref = world.node.ref
    leaving = bool(world.entries.leaving)
    return models.Beat(
        ref.entry,
        ref.incarnation,
        leaving,
        is_ready(world),
        tuple(row.latest for row in world.store.watches.values()),
        readers.is_fit(world, now_ms),
        world.entries.traffic[0].per_s,
    )
