"""Choose the entries that a caller may use, and keep the choice."""

from collections import abc
import itertools

import xxhash

from zinnialead_core.components.lookups import const
from zinnialead_core.components.lookups import models
from zinnialead_core.components.lookups import orders
from zinnialead_core.components import members
from zinnialead_core import ids
from zinnialead_core import world as world_module


def chosen(
    world: world_module.World, now_ms: float, key: models.ChosenKey
) -> models.ChosenRow:
    """Return the choice for a service, domain and turn, kept or new.

    Reads ``members`` and ``states``; writes ``lookups``.
    """
    kept = world.lookups.chosen.get(key)
    if kept is not None and _holds(world, now_ms, kept):
        return kept
    made = _make(world, now_ms, key)
    state = world.states['in-force']
    if key.service in state.services and key.near in state.domains:
        # Names that callers make up must not fill the table.
        world.lookups.chosen[key] = made
    return made


def _holds(
    world: world_module.World, now_ms: float, row: models.ChosenRow
) -> bool:
    if now_ms - row.made_ms > const.CHOSEN_MAX_AGE_MS:
        return False
    if world.requests.stopping:
        return False
    return all(_stands(world, entry) for entry in row.entries)


def _stands(world: world_module.World, row: models.ChosenEntry) -> bool:
    if row.witness is not None and not _alive(world, row.witness.entry):
        return False
    return _alive(world, row.entry)


def _alive(world: world_module.World, entry: ids.EntryId) -> bool:
    row = world.members.get(entry)
    return row is not None and row.health is members.Health.ALIVE


def _make(
    world: world_module.World, now_ms: float, key: models.ChosenKey
) -> models.ChosenRow:
    # Entries that answer look-ups start at different places, too.
    turn = key.turn + xxhash.xxh3_64_intdigest(world.node.ref.entry.encode())
    order = orders.order(world, key.service, key.near)
    rows = _choose(world, order, turn)
    entries = tuple(_entry(world, row, turn) for row in rows)
    return models.ChosenRow(entries, now_ms)


def _choose(
    world: world_module.World, order: models.OrderRow, turn: int
) -> abc.Iterator[members.MemberRow]:
    """Yield the choices: near ones, then some that outlive the near ones."""
    groups = [list(_usable(world, group, turn)) for group in order.groups]
    groups = [group for group in groups if group]
    spread = [
        *(row for group in groups[:1] for row in group[: const.NEAR]),
        *(group[0] for group in groups[1:2]),
        *_elsewhere(world, groups),
    ]
    rest = [row for group in groups for row in group]
    listed = dict.fromkeys([*spread, *rest])
    yield from itertools.islice(listed, const.CHOICES_MAX)


def _elsewhere(
    world: world_module.World, groups: list[list[members.MemberRow]]
) -> abc.Iterator[members.MemberRow]:
    """Yield one entry that stands in another region than the nearest."""
    domains = world.states['in-force'].domains
    regions = [
        domains[group[0].domain].region if group[0].domain in domains else None
        for group in groups
    ]
    for group, region in zip(groups, regions, strict=True):
        if region != regions[0]:
            yield group[0]
            return


def _usable(
    world: world_module.World, group: tuple[ids.EntryId, ...], turn: int
) -> abc.Iterator[members.MemberRow]:
    """Yield the entries that take work, from one chosen by ``turn`` on."""
    for place in range(len(group)):
        row = world.members.get(group[(turn + place) % len(group)])
        if row is None or row.health is not members.Health.ALIVE:
            continue
        if not _reachable(world, row):
            continue
        if row.entry == world.node.ref.entry and world.requests.stopping:
            continue
        yield row


def _entry(
    world: world_module.World, row: members.MemberRow, turn: int
) -> models.ChosenEntry:
    home, domain = world.node.ref, world.node.domain
    known = _run_of(world, row)
    if known is not None:
        home, domain = known, row.domain
    return models.ChosenEntry(
        row.entry,
        row.domain,
        row.callers_address or row.address,
        home,
        witness(world, home, domain, turn),
    )


def _reachable(world: world_module.World, row: members.MemberRow) -> bool:
    # An entry that is only listed has not said where it serves callers.
    return bool(row.callers_address) or not world.node.callers_address


def witness(
    world: world_module.World,
    home: ids.EntryRef,
    domain: ids.DomainId,
    turn: int,
) -> ids.EntryRef | None:
    """Return the run of an entry that may be the witness beside a home."""
    for group in orders.witnesses(world, domain).groups:
        for row in _usable(world, group, turn):
            ref = _run_of(world, row)
            if ref is not None and ref.entry != home.entry:
                return ref
    return None


def _run_of(
    world: world_module.World, row: members.MemberRow
) -> ids.EntryRef | None:
    """Return the run of an entry that a key can name, if it was heard."""
    if row.entry == world.node.ref.entry:
        return world.node.ref
    if row.incarnation == 0:
        return None
    return ids.EntryRef(row.entry, row.incarnation)
