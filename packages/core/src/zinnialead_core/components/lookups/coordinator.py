"""Answer look-ups from the tables, a bisect and a few reads each."""

from collections import abc

import xxhash

from zinnialead_core.components import keys
from zinnialead_core.components.lookups import blocks
from zinnialead_core.components.lookups import choices
from zinnialead_core.components.lookups import const
from zinnialead_core.components.lookups import models
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Forget kept orders when what they were made from changes.

    Reads ``states``; writes ``lookups``.
    """
    for item in inputs:
        match item:
            case inp.StateChanged():
                _forget_orders(world)
                _build_blocks(world)
            case inp.MemberLost() | inp.MemberJoined():
                _forget_orders(world)
    yield from ()


def look_up(
    world: world_module.World, now_ms: float, question: models.LookUp
) -> models.LookUpAnswer:
    """Return the entries to use, those of the caller's domain first.

    Reads ``members``, ``states`` and ``lookups``.
    """
    near = question.domain or _domain_of(world, question.client)
    client = question.client or str(now_ms)
    turn = xxhash.xxh3_64_intdigest(client.encode()) % const.TURNS
    row = choices.chosen(
        world, now_ms, models.ChosenKey(question.service, near, turn)
    )
    listed = tuple(_choice(entry, now_ms) for entry in row.entries)
    return models.LookUpAnswer(listed, _lifetime_ms(row))


def look_up_many(
    world: world_module.World,
    now_ms: float,
    questions: abc.Iterable[models.LookUp],
) -> abc.Iterator[models.LookUpAnswer]:
    """Yield the answers to the questions of one call, in their order."""
    for question in questions:
        yield look_up(world, now_ms, question)


def _lifetime_ms(row: models.ChosenRow) -> float:
    # An entry that has just started knows no witnesses yet.
    if any(entry.witness is None for entry in row.entries):
        return const.LIFETIME_ALONE_MS
    return const.LIFETIME_MS


def _choice(row: models.ChosenEntry, now_ms: float) -> models.Choice:
    prefix = keys.prefix(row.home, row.witness, now_ms)
    return models.Choice(row.entry, row.domain, row.address, prefix)


def _forget_orders(world: world_module.World) -> None:
    world.lookups.orders.clear()
    world.lookups.witnesses.clear()
    world.lookups.chosen.clear()


def _build_blocks(world: world_module.World) -> None:
    table = world.lookups
    rows = world.states['in-force'].blocks
    if rows != table.sources[0]:
        table.blocks[0] = blocks.build(rows.values())
        table.sources[0] = rows


def _domain_of(world: world_module.World, client: str | None) -> ids.DomainId:
    if client is None:
        return world.node.domain
    return blocks.find(world.lookups.blocks[0], client) or world.node.domain
