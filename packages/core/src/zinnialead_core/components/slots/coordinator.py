"""Ask for slots, and own the queue in front of a domain's upstreams."""

from collections import abc

from zinnialead_core.components.slots import asker
from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import owner
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Ask for the slots that requests want and grant those owned here.

    Reads ``requests``, ``states``, ``members`` and ``upstreams``; writes
    ``asks``, ``queues`` and ``timers``.
    """
    for item in inputs:
        match item:
            case inp.SlotWanted(request_id, attempt):
                yield from asker.ask(world, now_ms, request_id, attempt)
            case inp.SlotGone(request_id, attempt):
                yield from asker.give_back(world, request_id, attempt)
            case inp.PeerMessage(sender, message):
                yield from _on_message(world, now_ms, sender, message)
            case inp.TimerDue(timers.QueueExpiry(ask_id)):
                yield from owner.expire(world, now_ms, ask_id)
            case inp.StateChanged():
                yield from owner.grant_all(world, now_ms)


def _on_message(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    message: object,
) -> abc.Iterator[out.Output]:
    match message:
        case messages.SlotAsk():
            yield from owner.enqueue(world, now_ms, message)
        case messages.SlotAnswer():
            yield from asker.answered(world, sender, message)
        case messages.SlotReturn():
            yield from owner.take_back(world, now_ms, message)
