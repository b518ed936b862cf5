"""Answer look-ups from cached selections and block tables."""

from collections import abc

import xxhash

from zinnialead_core.components import keys
from zinnialead_core.components.lookups import blocks
from zinnialead_core.components.lookups import const
from zinnialead_core.components.lookups import models
from zinnialead_core.components.lookups import selection
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Clear the caches when members or the state change.

    Reads ``states``; writes ``lookups``.
    """
    for event in inputs:
        match event:
            case inp.StateChanged():
                _clear_caches(world)
                _build_blocks(world)
            case inp.MemberLost() | inp.MemberJoined():
                _clear_caches(world)
    yield from ()


def look_up(
    world: world_module.World, now_ms: float, question: models.LookUp
) -> models.LookUpAnswer:
    """Return the entries to use, those of the caller's domain first.

    Reads ``members``, ``states`` and ``lookups``.
    """
    domain = question.domain or _client_domain(world, question.client)
    client = question.client or str(now_ms)
    rotation = xxhash.xxh3_64_intdigest(client.encode()) % const.ROTATIONS
    selected = selection.select(
        world, now_ms, models.SelectionKey(question.service, domain, rotation)
    )
    choices = tuple(_to_choice(entry, now_ms) for entry in selected.entries)
    return models.LookUpAnswer(choices, _lifetime_ms(selected))


def look_up_many(
    world: world_module.World,
    now_ms: float,
    questions: abc.Iterable[models.LookUp],
) -> abc.Iterator[models.LookUpAnswer]:
    """Yield one answer per question, in the order of the questions."""
    for question in questions:
        yield look_up(world, now_ms, question)


def _lifetime_ms(selected: models.SelectionRow) -> float:
    # A newly started entry has heard from no possible witness yet.
    if any(entry.witness is None for entry in selected.entries):
        return const.NO_WITNESS_LIFETIME_MS
    return const.ANSWER_LIFETIME_MS


def _to_choice(row: models.SelectedEntry, now_ms: float) -> models.Choice:
    prefix = keys.prefix(row.home, row.witness, now_ms)
    return models.Choice(row.entry, row.domain, row.address, prefix)


def _clear_caches(world: world_module.World) -> None:
    world.lookups.orders.clear()
    world.lookups.witnesses.clear()
    world.lookups.selections.clear()


def _build_blocks(world: world_module.World) -> None:
    table = world.lookups
    rows = world.states['in-force'].blocks
    if rows != table.block_rows[0]:
        table.blocks[0] = blocks.build(rows.values())
        table.block_rows[0] = rows


def _client_domain(
    world: world_module.World, client: str | None
) -> ids.DomainId:
    if client is None:
        return world.node.domain
    return blocks.find(world.lookups.blocks[0], client) or world.node.domain
