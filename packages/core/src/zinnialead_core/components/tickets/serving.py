"""Serve the state in force to peers, within a budget."""

from collections import abc

from zinnialead_core import buckets
from zinnialead_core.components.tickets import const
from zinnialead_core.components.tickets import messages
from zinnialead_core.components.tickets import parts
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def answer_request(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    request: messages.StateAsk,
) -> abc.Iterator[out.Output]:
    """Send the deltas since the requester's state, or a part of the state."""
    state = world.states[const.IN_FORCE]
    if request.number >= state.number:
        return
    deltas = [] if request.part else list(_deltas_since(world, request))
    answers: list[messages.StateDelta | messages.StateData] = [*deltas]
    if not deltas:
        part = request.part if request.wanted == state.number else 0
        rows = parts.part(state, part)
        answers = [messages.StateData(rows, part, parts.part_count(state))]
    if not _take_from_budget(world, now_ms, sum(map(_row_cost, answers))):
        world.counters['tickets.serve_refused'] += 1
        return
    for message in answers:
        yield out.SendPeer(sender.entry, message)


def _deltas_since(
    world: world_module.World, request: messages.StateAsk
) -> abc.Iterator[messages.StateDelta]:
    """Yield the deltas from the requester's state to the one in force."""
    base = (request.number, request.digest)
    deltas = []
    for delta in world.spread.deltas:
        if (delta.base_number, delta.base_digest) == base:
            deltas.append(delta)
            base = (delta.changed.number, parts.digest(delta.changed))
    if base[0] == world.states[const.IN_FORCE].number:
        yield from deltas


def _row_cost(message: messages.StateDelta | messages.StateData) -> int:
    match message:
        case messages.StateDelta(_, _, changed, removed):
            return 1 + parts.row_count(changed) + len(removed)
        case messages.StateData(state):
            return 1 + parts.row_count(state)


def _take_from_budget(
    world: world_module.World, now_ms: float, rows: int
) -> bool:
    """Take rows from the budget; return whether it had that many."""
    full = buckets.BucketRow(const.SERVED_ROWS_BURST, now_ms)
    row = next(iter(world.spread.budget), full)
    take_result = buckets.take(
        row, now_ms, const.SERVED_ROWS_PER_S, const.SERVED_ROWS_BURST, rows
    )
    world.spread.budget[:] = [take_result.row]
    return take_result.is_allowed
