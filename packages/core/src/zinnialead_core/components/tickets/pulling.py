"""Request a newer state from peers until all of it has arrived."""

from collections import abc

from zinnialead_core.components.members import queries
from zinnialead_core.components.tickets import const
from zinnialead_core.components.tickets import messages
from zinnialead_core.components.tickets import models
from zinnialead_core.components.tickets import parts
from zinnialead_core.components.tickets import spread
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


def request_if_newer(
    world: world_module.World,
    now_ms: float,
    holder: ids.EntryId,
    number: int,
) -> abc.Iterator[out.Output]:
    """Request a state that is newer than any requested so far.

    While a request is open, its timer requests the newer state later.
    """
    target = next(iter(world.spread.target), None)
    newest = target.number if target else world.states[const.IN_FORCE].number
    if number <= newest:
        return
    world.spread.target[:] = [spread.TargetRow(number, holder)]
    if target is None:
        yield from request_state(world, now_ms)


def request_state(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Request what is still missing, and start the timer for a retry."""
    state = world.states[const.IN_FORCE]
    target = next(iter(world.spread.target), None)
    if target is None or target.number <= state.number:
        world.spread.target.clear()
        return
    due_ms = now_ms + const.ASK_TIMEOUT_MS
    timers.start(world.timers, timers.SpreadRound(), due_ms)
    holders = _holders(world, target.number) or [target.holder]
    if not world.spread.transfer:
        holder = target.holder if target.holder in holders else holders[0]
        request = messages.StateAsk(state.number, parts.digest(state))
        yield out.SendPeer(holder, request)
        return
    [transfer] = world.spread.transfer
    yield from _request_parts(state, transfer, holders)


def retry(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Request the state from another holder after one did not answer."""
    target = next(iter(world.spread.target), None)
    if target is None:
        return
    holders = _holders(world, target.number)
    if holders:
        world.spread.target[:] = [target._replace(holder=holders[0])]
    yield from request_state(world, now_ms)


def receive_part(
    world: world_module.World,
    sender: ids.EntryRef,
    data: messages.StateData,
) -> abc.Iterator[out.Output | models.State]:
    """Store a part and request more, or yield the complete state."""
    state, part = world.states[const.IN_FORCE], data.state
    if not 0 <= data.part < data.parts <= const.PARTS_MAX:
        world.counters['tickets.parts_refused'] += 1
        return
    transfer = _transfer(world, data)
    if transfer is None:
        world.counters['tickets.parts_refused'] += 1
        return
    is_new = data.part not in transfer.received
    transfer.received[data.part] = part
    if len(transfer.received) == transfer.parts:
        world.spread.transfer.clear()
        yield parts.join(transfer.received)
        return
    if not is_new:
        return
    if len(transfer.received) == 1:
        holders = _holders(world, transfer.number)
        other_holders = [x for x in holders if x != sender.entry]
        yield from _request_parts(
            state, transfer, other_holders or [sender.entry]
        )
    elif not _has_no_state(state):
        *_, last = _missing(transfer)
        yield _request_part(state, transfer, sender.entry, last)


def _has_no_state(state: models.State) -> bool:
    """Return whether this entry has no state yet.

    Such an entry requests one part from each holder in a round, so that
    each sends it less than 17 KB/s.
    """
    return state.number == 0


def _request_parts(
    state: models.State,
    transfer: spread.TransferRow,
    holders: abc.Sequence[ids.EntryId],
) -> abc.Iterator[out.Output]:
    """Request the next parts, from each holder in turn."""
    for index, number in enumerate(_missing(transfer)):
        if index >= len(holders) and _has_no_state(state):
            return
        holder = holders[index % len(holders)]
        yield _request_part(state, transfer, holder, number)


def _transfer(
    world: world_module.World, data: messages.StateData
) -> spread.TransferRow | None:
    """Return the transfer that a part belongs to, None if it conflicts.

    A part of a newer state starts a new transfer.
    """
    digest = parts.digest(data.state)
    number = data.state.number
    current = next(iter(world.spread.transfer), None)
    if current is not None and current.number >= number:
        identity = (current.number, current.digest, current.parts)
        return current if identity == (number, digest, data.parts) else None
    new_transfer = spread.TransferRow(number, digest, data.parts, {})
    world.spread.transfer[:] = [new_transfer]
    return new_transfer


def _missing(transfer: spread.TransferRow) -> abc.Iterator[int]:
    """Yield the numbers of the first few missing parts."""
    missing = (
        number
        for number in range(transfer.parts)
        if number not in transfer.received
    )
    for _, number in zip(range(const.PARTS_ASKED_MAX), missing, strict=False):
        yield number


def _request_part(
    state: models.State,
    transfer: spread.TransferRow,
    holder: ids.EntryId,
    number: int,
) -> out.SendPeer:
    request = messages.StateAsk(
        state.number, parts.digest(state), number, transfer.number
    )
    return out.SendPeer(holder, request)


def _holders(
    world: world_module.World, number: int
) -> abc.Sequence[ids.EntryId]:
    rows = (
        row for row in queries.live_peers(world) if row.state_number >= number
    )
    return queries.sample_entries(world, rows, const.PARTS_ASKED_MAX)
