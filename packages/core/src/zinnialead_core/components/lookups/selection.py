"""Select the entries that a caller may use, and cache the selection."""

from collections import abc
import itertools

import xxhash

from zinnialead_core.components.lookups import const
from zinnialead_core.components.lookups import models
from zinnialead_core.components.lookups import orders
from zinnialead_core.components import members
from zinnialead_core import ids
from zinnialead_core import world as world_module


def select(
    world: world_module.World, now_ms: float, key: models.SelectionKey
) -> models.SelectionRow:
    """Return the selection for a key, from the cache while it is valid.

    Reads ``members`` and ``states``; writes ``lookups``.
    """
    cached = world.lookups.selections.get(key)
    if cached is not None and _is_valid(world, now_ms, cached):
        return cached
    selected = _new_selection(world, now_ms, key)
    state = world.states['in-force']
    if key.service in state.services and key.domain in state.domains:
        # Unknown names from callers must not fill the cache.
        world.lookups.selections[key] = selected
    return selected


def _is_valid(
    world: world_module.World, now_ms: float, row: models.SelectionRow
) -> bool:
    if now_ms - row.selected_ms > const.SELECTION_MAX_AGE_MS:
        return False
    if world.requests.stopping:
        return False
    return all(_is_entry_valid(world, entry) for entry in row.entries)


def _is_entry_valid(
    world: world_module.World, row: models.SelectedEntry
) -> bool:
    if row.witness is not None and not _is_alive(world, row.witness.entry):
        return False
    return _is_alive(world, row.entry)


def _is_alive(world: world_module.World, entry: ids.EntryId) -> bool:
    row = world.members.get(entry)
    return row is not None and row.health is members.Health.ALIVE


def _new_selection(
    world: world_module.World, now_ms: float, key: models.SelectionKey
) -> models.SelectionRow:
    # Each answering entry adds its own offset, which spreads the load.
    rotation = key.rotation + xxhash.xxh3_64_intdigest(
        world.node.ref.entry.encode()
    )
    order = orders.service_order(world, key.service, key.domain)
    rows = _select_members(world, order, rotation)
    entries = tuple(_selected_entry(world, row, rotation) for row in rows)
    return models.SelectionRow(entries, now_ms)


def _select_members(
    world: world_module.World, order: models.OrderRow, rotation: int
) -> abc.Iterator[members.MemberRow]:
    """Yield nearest entries first, then fallbacks in other domains."""
    groups = [
        list(_available(world, group, rotation)) for group in order.groups
    ]
    groups = [group for group in groups if group]
    preferred = [
        *(
            row
            for group in groups[:1]
            for row in group[: const.NEAREST_CHOICES]
        ),
        *(group[0] for group in groups[1:2]),
        *_first_in_other_region(world, groups),
    ]
    remaining = [row for group in groups for row in group]
    distinct = dict.fromkeys([*preferred, *remaining])
    yield from itertools.islice(distinct, const.CHOICES_MAX)


def _first_in_other_region(
    world: world_module.World, groups: list[list[members.MemberRow]]
) -> abc.Iterator[members.MemberRow]:
    """Yield the first entry outside the nearest group's region, if any."""
    domains = world.states['in-force'].domains
    regions = [
        domains[group[0].domain].region if group[0].domain in domains else None
        for group in groups
    ]
    for group, region in zip(groups, regions, strict=True):
        if region != regions[0]:
            yield group[0]
            return


def _available(
    world: world_module.World, group: tuple[ids.EntryId, ...], rotation: int
) -> abc.Iterator[members.MemberRow]:
    """Yield the entries that accept work, starting at ``rotation``."""
    for offset in range(len(group)):
        row = world.members.get(group[(rotation + offset) % len(group)])
        if row is None or row.health is not members.Health.ALIVE:
            continue
        if not _is_reachable(world, row):
            continue
        if row.entry == world.node.ref.entry and world.requests.stopping:
            continue
        yield row


def _selected_entry(
    world: world_module.World, row: members.MemberRow, rotation: int
) -> models.SelectedEntry:
    home, domain = world.node.ref, world.node.domain
    ref = _known_ref(world, row)
    if ref is not None:
        home, domain = ref, row.domain
    return models.SelectedEntry(
        row.entry,
        row.domain,
        row.callers_address or row.address,
        home,
        choose_witness(world, home, domain, rotation),
    )


def _is_reachable(world: world_module.World, row: members.MemberRow) -> bool:
    # An entry that is only listed by the platform has not announced
    # the address where it serves callers.
    return bool(row.callers_address) or not world.node.callers_address


def choose_witness(
    world: world_module.World,
    home: ids.EntryRef,
    domain: ids.DomainId,
    rotation: int,
) -> ids.EntryRef | None:
    """Choose the second registrar for keys whose first one is ``home``."""
    for group in orders.witness_order(world, domain).groups:
        for row in _available(world, group, rotation):
            ref = _known_ref(world, row)
            if ref is not None and ref.entry != home.entry:
                return ref
    return None


def _known_ref(
    world: world_module.World, row: members.MemberRow
) -> ids.EntryRef | None:
    """Return the incarnation that a key can name, None if unknown."""
    if row.entry == world.node.ref.entry:
        return world.node.ref
    if row.incarnation == 0:
        return None
    return ids.EntryRef(row.entry, row.incarnation)
