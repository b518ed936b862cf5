"""Keep the table of members by what is seen of them."""

from collections import abc

from zinnialead_core.components.members import models
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Take in what is seen of the members.

    Writes ``members``.
    """
    for item in inputs:
        match item:
            case inp.PeerSeen():
                yield from _seen(world, now_ms, item)


def _seen(
    world: world_module.World, now_ms: float, item: inp.PeerSeen
) -> abc.Iterator[out.Output]:
    if item.entry in world.members:
        return
    row = models.MemberRow(
        entry=item.entry,
        incarnation=0,
        domain=item.domain,
        address=item.address,
        health=models.Health.ALIVE,
        heard_ms=now_ms,
        state_number=0,
    )
    world.members[item.entry] = row
    yield out.Notify(inp.MemberJoined(ids.EntryRef(item.entry, 0)))
