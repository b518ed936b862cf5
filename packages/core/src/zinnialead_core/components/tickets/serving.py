"""Give peers the state in force, within a budget."""

from collections import abc

from zinnialead_core import buckets
from zinnialead_core.components.tickets import const
from zinnialead_core.components.tickets import messages
from zinnialead_core.components.tickets import parts
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def answer(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    ask: messages.StateAsk,
) -> abc.Iterator[out.Output]:
    """Answer with what changed since the asker's state, or with a part."""
    state = world.states[const.IN_FORCE]
    if ask.number >= state.number:
        return
    chain = [] if ask.part else list(_chain(world, ask))
    found: list[messages.StateDelta | messages.StateData] = [*chain]
    if not chain:
        wanted = ask.part if ask.wanted == state.number else 0
        rows = parts.part(state, wanted)
        found = [messages.StateData(rows, wanted, parts.count(state))]
    if not _affordable(world, now_ms, sum(map(_rows, found))):
        world.counters['tickets.serve_refused'] += 1
        return
    for message in found:
        yield out.SendPeer(sender.entry, message)


def _chain(
    world: world_module.World, ask: messages.StateAsk
) -> abc.Iterator[messages.StateDelta]:
    """Yield the deltas from the asker's state to the one in force."""
    base = (ask.number, ask.digest)
    found = []
    for change in world.spread.deltas:
        if (change.base_number, change.base_digest) == base:
            found.append(change)
            base = (change.changed.number, parts.digest(change.changed))
    if base[0] == world.states[const.IN_FORCE].number:
        yield from found


def _rows(message: messages.StateDelta | messages.StateData) -> int:
    match message:
        case messages.StateDelta(_, _, changed, removed):
            return 1 + parts.size(changed) + len(removed)
        case messages.StateData(state):
            return 1 + parts.size(state)


def _affordable(world: world_module.World, now_ms: float, rows: int) -> bool:
    """Take rows out of the budget if they are there."""
    full = buckets.BucketRow(const.SERVED_ROWS_BURST, now_ms)
    row = next(iter(world.spread.budget), full)
    taken = buckets.take(
        row, now_ms, const.SERVED_ROWS_PER_S, const.SERVED_ROWS_BURST, rows
    )
    world.spread.budget[:] = [taken.row]
    return taken.is_allowed
