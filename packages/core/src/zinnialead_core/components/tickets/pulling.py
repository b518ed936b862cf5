"""Ask peers for a newer state until it is whole."""

from collections import abc

from zinnialead_core.components.members import queries
from zinnialead_core.components.tickets import const
from zinnialead_core.components.tickets import messages
from zinnialead_core.components.tickets import models
from zinnialead_core.components.tickets import parts
from zinnialead_core.components.tickets import spreading
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


def hear(
    world: world_module.World,
    now_ms: float,
    holder: ids.EntryId,
    number: int,
) -> abc.Iterator[out.Output]:
    """Ask for a state that is newer than any asked for so far."""
    wanted = next(iter(world.spread.want), None)
    known = wanted.number if wanted else world.states[const.IN_FORCE].number
    if number <= known:
        return
    world.spread.want[:] = [spreading.WantRow(number, holder)]
    if wanted is None:
        yield from ask(world, now_ms)


def ask(world: world_module.World, now_ms: float) -> abc.Iterator[out.Output]:
    """Ask for what is still missing, and look again after a while."""
    state = world.states[const.IN_FORCE]
    want = next(iter(world.spread.want), None)
    if want is None or want.number <= state.number:
        world.spread.want.clear()
        return
    due_ms = now_ms + const.ASK_TIMEOUT_MS
    timers.start(world.timers, timers.SpreadRound(), due_ms)
    holders = _holders(world, want.number) or [want.holder]
    if not world.spread.transfer:
        holder = want.holder if want.holder in holders else holders[0]
        question = messages.StateAsk(state.number, parts.digest(state))
        yield out.SendPeer(holder, question)
        return
    [transfer] = world.spread.transfer
    yield from _ask_parts(state, transfer, holders)


def retry(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Ask another holder, since the last one did not answer."""
    want = next(iter(world.spread.want), None)
    if want is None:
        return
    holders = _holders(world, want.number)
    if holders:
        world.spread.want[:] = [want._replace(holder=holders[0])]
    yield from ask(world, now_ms)


def take_part(
    world: world_module.World,
    sender: ids.EntryRef,
    data: messages.StateData,
) -> abc.Iterator[out.Output | models.State]:
    """Keep a part, ask its sender for another; yield the state if whole."""
    state, found = world.states[const.IN_FORCE], data.state
    if not 0 <= data.part < data.parts <= const.PARTS_MAX:
        world.counters['tickets.parts_refused'] += 1
        return
    transfer = _transfer(world, data)
    if transfer is None:
        world.counters['tickets.parts_refused'] += 1
        return
    fresh = data.part not in transfer.received
    transfer.received[data.part] = found
    if len(transfer.received) == transfer.parts:
        world.spread.transfer.clear()
        yield parts.joined(transfer.received)
        return
    if not fresh:
        return
    if len(transfer.received) == 1:
        holders = _holders(world, transfer.number)
        others = [x for x in holders if x != sender.entry]
        yield from _ask_parts(state, transfer, others or [sender.entry])
    elif not _is_newcomer(state):
        *_, last = _missing(transfer)
        yield _ask_part(state, transfer, sender.entry, last)


def _is_newcomer(state: models.State) -> bool:
    """Say whether this entry has nothing yet and asks at a slow pace.

    It asks each holder for one part in a round, below 17 KB a second.
    """
    return state.number == 0


def _ask_parts(
    state: models.State,
    transfer: spreading.TransferRow,
    holders: abc.Sequence[ids.EntryId],
) -> abc.Iterator[out.Output]:
    """Ask for the next parts, of each holder in turn."""
    for place, number in enumerate(_missing(transfer)):
        if place >= len(holders) and _is_newcomer(state):
            return
        holder = holders[place % len(holders)]
        yield _ask_part(state, transfer, holder, number)


def _transfer(
    world: world_module.World, data: messages.StateData
) -> spreading.TransferRow | None:
    """Return the transfer that a part belongs to, a newer one if due."""
    digest = parts.digest(data.state)
    number = data.state.number
    current = next(iter(world.spread.transfer), None)
    if current is not None and current.number >= number:
        name = (current.number, current.digest, current.parts)
        return current if name == (number, digest, data.parts) else None
    fresh = spreading.TransferRow(number, digest, data.parts, {})
    world.spread.transfer[:] = [fresh]
    return fresh


def _missing(transfer: spreading.TransferRow) -> abc.Iterator[int]:
    """Yield the first few parts that are missing."""
    missing = (
        number
        for number in range(transfer.parts)
        if number not in transfer.received
    )
    for _, number in zip(range(const.PARTS_ASKED_MAX), missing, strict=False):
        yield number


def _ask_part(
    state: models.State,
    transfer: spreading.TransferRow,
    holder: ids.EntryId,
    number: int,
) -> out.SendPeer:
    question = messages.StateAsk(
        state.number, parts.digest(state), number, transfer.number
    )
    return out.SendPeer(holder, question)


def _holders(
    world: world_module.World, number: int
) -> abc.Sequence[ids.EntryId]:
    rows = (x for x in queries.live_peers(world) if x.state_number >= number)
    return queries.sample_entries(world, rows, const.PARTS_ASKED_MAX)
