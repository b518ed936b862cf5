"""Put newer states in force and spread them to peers."""

from collections import abc

from zinnialead_core.components.tickets import const
from zinnialead_core.components.tickets import messages
from zinnialead_core.components.tickets import models
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def in_force(world: world_module.World) -> models.State:
    """Return the state in force on this entry."""
    return world.states[const.IN_FORCE]


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Adopt newer states and answer peers that ask for them.

    Reads ``states`` and ``members``; writes ``states``.
    """
    for item in inputs:
        match item:
            case inp.StateRead(state):
                yield from _adopt(world, state)
            case inp.PeerMessage(sender, message):
                yield from _on_message(world, sender, message)


def _on_message(
    world: world_module.World, sender: ids.EntryRef, message: object
) -> abc.Iterator[out.Output]:
    match message:
        case messages.StateData(state):
            yield from _adopt(world, state)
        case messages.StateNumber(number):
            if number > in_force(world).number:
                ask = messages.StateAsk(in_force(world).number)
                yield out.SendPeer(sender.entry, ask)
        case messages.StateAsk(number):
            if number < in_force(world).number:
                data = messages.StateData(in_force(world))
                yield out.SendPeer(sender.entry, data)


def _adopt(
    world: world_module.World, state: models.State
) -> abc.Iterator[out.Output]:
    if state.number <= in_force(world).number:
        return
    world.states[const.IN_FORCE] = state
    world.counters['tickets.adopted'] += 1
    yield out.Notify(inp.StateChanged(state.number))
    number = messages.StateNumber(state.number)
    for entry in world.members:
        if entry != world.node.ref.entry:
            yield out.SendPeer(entry, number)
