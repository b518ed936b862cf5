"""Ask for slots, and grant the slots that this entry owns."""

from collections import abc

from zinnialead_core.components.slots import asker
from zinnialead_core.components.slots import granting
from zinnialead_core.components.slots import leases
from zinnialead_core.components.slots import local_config
from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import ownership
from zinnialead_core.components.slots import queueing
from zinnialead_core.components.slots import rank_queues
from zinnialead_core.components.slots import renewals
from zinnialead_core.components.upstreams import announcements
from zinnialead_core.components.upstreams import messages as upstream_messages
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
    """Ask for slots for requests and grant the slots owned here.

    Reads ``requests``, ``states`` and ``members``; writes ``asks``,
    ``queues``, ``upstreams`` and ``timers``.
    """
    yield from _members_changed(world, now_ms, inputs)
    for event in inputs:
        match event:
            case inp.SlotRequested(request_id, attempt):
                yield from asker.ask(world, now_ms, request_id, attempt)
            case inp.SlotReleased():
                yield from asker.release(world, now_ms, event)
            case inp.PeerMessage(sender, message):
                yield from _on_message(world, now_ms, sender, message)
            case inp.TimerDue(timer):
                yield from _on_timer(world, now_ms, timer)
            case inp.StateChanged():
                local_config.update_previous_limits(world, now_ms)
                ownership.refresh(world, now_ms)
                yield from granting.grant_all(world, now_ms)
            case inp.UpstreamReport() | inp.UpstreamAnnounced():
                yield from granting.grant_all(world, now_ms)


def _on_message(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    message: object,
) -> abc.Iterator[out.Output]:
    match message:
        case messages.SlotAsk():
            yield from queueing.enqueue(world, now_ms, message)
        case messages.SlotAnswer():
            yield from asker.on_answer(world, now_ms, sender, message)
        case messages.SlotWaiting():
            asker.on_waiting(world, sender, message)
        case messages.SlotHeldReport():
            leases.renew(world, now_ms, message)
        case messages.SlotReturn():
            yield from queueing.release(world, now_ms, message)
        case upstream_messages.UpstreamNotice():
            yield from granting.grant_all(world, now_ms)


def _on_timer(
    world: world_module.World, now_ms: float, timer: timers.Timer
) -> abc.Iterator[out.Output]:
    match timer:
        case timers.QueueExpiry(ask_id):
            yield from queueing.expire(world, now_ms, ask_id)
        case timers.AskTimeout(ask_id):
            yield from renewals.on_timer(world, now_ms, ask_id)
        case timers.SlotsDue(service):
            yield from granting.grant(world, now_ms, service)
        case timers.UpstreamDue():
            yield from granting.grant_all(world, now_ms)


def _members_changed(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Apply all membership changes of a tick at once."""
    changed = False
    restarted: set[ids.EntryId] = set()
    for event in inputs:
        match event:
            case inp.MemberLost(ref):
                _on_entry_lost(world, now_ms, ref)
                changed = True
            case inp.MemberJoined(ref):
                previous_run = ref._replace(incarnation=ref.incarnation - 1)
                _on_entry_lost(world, now_ms, previous_run)
                restarted.add(ref.entry)
                changed = True
            case inp.MemberChanged() | inp.StopRequested():
                changed = True
    if changed:
        ownership.refresh(world, now_ms)
        yield from announcements.tell_owners(world, now_ms)
        yield from ownership.hand_over(world, now_ms)
        yield from renewals.on_owners_changed(world, now_ms, restarted)
        yield from granting.grant_all(world, now_ms)


def _on_entry_lost(
    world: world_module.World, now_ms: float, ref: ids.EntryRef
) -> None:
    leases.on_holder_lost(world, now_ms, ref)
    for row in list(world.queues.queued.values()):
        if leases.is_run_of(row.ask_id.asker, ref):
            rank_queues.remove(world, row.ask_id)
            timers.stop(world.timers, timers.QueueExpiry(row.ask_id))
