"""Adopt newer states and spread them to peers."""

from collections import abc

from zinnialead_core.components.members import messages as member_messages
from zinnialead_core.components.members import queries
from zinnialead_core.components.store import const as store_const
from zinnialead_core.components.tickets import const
from zinnialead_core.components.tickets import held
from zinnialead_core.components.tickets import messages
from zinnialead_core.components.tickets import models
from zinnialead_core.components.tickets import parts
from zinnialead_core.components.tickets import pulling
from zinnialead_core.components.tickets import serving
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


def in_force(world: world_module.World) -> models.State:
    """Return the state in force on this entry."""
    return world.states[const.IN_FORCE]


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Adopt newer states, request them from peers and serve them to peers.

    Reads ``members``; writes ``states``, ``spread`` and ``timers``.
    """
    for event in inputs:
        match event:
            case inp.StateRead(state):
                if held.must_hold(world, event):
                    held.hold(world, now_ms, state)
                else:
                    yield from _compare_with_store(world, event)
                    yield from _adopt(world, state)
            case inp.TimerDue(timers.HeldStateDue()):
                for state in list(world.spread.held):
                    yield from _adopt(world, state)
            case inp.PeerMessage(sender, message):
                yield from _on_message(world, now_ms, sender, message)
            case inp.TimerDue(timers.SpreadRound()):
                yield from pulling.retry(world, now_ms)


def _on_message(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    message: object,
) -> abc.Iterator[out.Output]:
    if sender == world.node.ref:
        return
    match message:
        case (
            member_messages.Probe(state_number=number)
            | member_messages.ProbeAnswer(state_number=number)
        ):
            yield from _compare_number(world, now_ms, sender, number)
        case messages.StateNumber(number, digest):
            yield from _release_held(world, number)
            yield from _check_digest(world, number, digest)
            yield from pulling.request_if_newer(
                world, now_ms, sender.entry, number
            )
        case messages.StateAsk(number, digest):
            yield from _check_digest(world, number, digest)
            yield from serving.answer_request(world, now_ms, sender, message)
        case messages.StateData():
            yield from _receive_data(world, sender, message)
        case messages.StateDelta():
            yield from _receive_delta(world, message)


def _compare_number(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    number: int,
) -> abc.Iterator[out.Output]:
    """Request a newer state from the sender, or announce one to it."""
    yield from _release_held(world, number)
    state = in_force(world)
    if number < state.number:
        yield out.SendPeer(sender.entry, _state_number(state))
    yield from pulling.request_if_newer(world, now_ms, sender.entry, number)


def _receive_data(
    world: world_module.World,
    sender: ids.EntryRef,
    message: messages.StateData,
) -> abc.Iterator[out.Output]:
    state = message.state
    if state.number <= in_force(world).number:
        world.counters['tickets.older_refused'] += 1
        yield from _check_digest(world, state.number, parts.digest(state))
        return
    for result in pulling.receive_part(world, sender, message):
        match result:
            case models.State():
                yield from _adopt(world, result)
            case _:
                yield result


def _receive_delta(
    world: world_module.World, message: messages.StateDelta
) -> abc.Iterator[out.Output]:
    state = in_force(world)
    base = (message.base_number, message.base_digest)
    if base != (state.number, parts.digest(state)):
        world.counters['tickets.delta_refused'] += 1
        return
    yield from _adopt(world, parts.apply_delta(state, message))


def _adopt(
    world: world_module.World, state: models.State
) -> abc.Iterator[out.Output]:
    """Put a state in force if its number is higher, and push the number."""
    before = in_force(world)
    yield from _check_digest(world, state.number, parts.digest(state))
    if state.number <= before.number:
        return
    held.drop(world)
    world.states[const.IN_FORCE] = state
    world.counters['tickets.adopted'] += 1
    _keep_delta(world, before, state)
    _drop_transfer(world, state.number)
    yield out.Notify(inp.StateChanged(state.number))
    yield out.LogChange(
        'tickets', 'in force', str(before.number), str(state.number)
    )
    same_domain = queries.sample_entries(
        world, queries.domain_peers(world), const.PUSH_SAME_DOMAIN_COUNT
    )
    other_domains = queries.sample_entries(
        world,
        queries.other_domain_peers(world),
        const.PUSH_OTHER_DOMAINS_COUNT,
    )
    for entry in (*same_domain, *other_domains):
        yield out.SendPeer(entry, _state_number(state))


def _compare_with_store(
    world: world_module.World, read: inp.StateRead
) -> abc.Iterator[out.Output]:
    """Give a store that was restored from a copy its lost tickets back.

    A ticket that is not among those in force is never overwritten.
    """
    state = in_force(world)
    is_restored = read.era > store_const.FIRST_ERA
    if not is_restored or read.state.number >= state.number:
        return
    if parts.is_followed_by(read.state, state):
        yield out.Notify(inp.StateLost())
        return
    world.counters['tickets.store_diverged'] += 1
    if world.counters['tickets.store_diverged'] == 1:
        yield out.LogChange(
            'tickets',
            f'store diverged at {read.state.number}',
            parts.digest(state),
            parts.digest(read.state),
        )


def _release_held(
    world: world_module.World, number: int
) -> abc.Iterator[out.Output]:
    for state in list(held.release(world, number)):
        yield from _adopt(world, state)


def _keep_delta(
    world: world_module.World, before: models.State, after: models.State
) -> None:
    delta = parts.make_delta(before, after)
    deltas = world.spread.deltas
    if parts.row_count(delta.changed) > const.PART_ROWS:
        deltas.clear()
        return
    deltas.append(delta)
    del deltas[: -const.DELTAS_KEPT]


def _drop_transfer(world: world_module.World, number: int) -> None:
    spread = world.spread
    spread.target[:] = [row for row in spread.target if row.number > number]
    spread.transfer[:] = [
        row for row in spread.transfer if row.number > number
    ]
    if not spread.target:
        timers.stop(world.timers, timers.SpreadRound())


def _check_digest(
    world: world_module.World, number: int, digest: str
) -> abc.Iterator[out.Output]:
    """Count a state that has the same number but comes from another ticket.

    Only the first is logged, since peers repeat their digests.
    """
    state = in_force(world)
    own_digest = parts.digest(state)
    if (
        number != state.number
        or not digest
        or not own_digest
        or digest == own_digest
    ):
        return
    world.counters['tickets.conflicts'] += 1
    if world.counters['tickets.conflicts'] == 1:
        yield out.LogChange(
            'tickets', f'conflict over {number}', own_digest, digest
        )


def _state_number(state: models.State) -> messages.StateNumber:
    return messages.StateNumber(state.number, parts.digest(state))
