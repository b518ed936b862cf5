"""Keep the table of members by what is seen and told of them."""

from collections import abc

from zinnialead_core.components.members import beliefs
from zinnialead_core.components.members import const
from zinnialead_core.components.members import gossip
from zinnialead_core.components.members import messages
from zinnialead_core.components.members import models
from zinnialead_core.components.members import probing
from zinnialead_core.components.members import queries
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
    """Probe peers, judge them, and exchange news of them.

    Reads ``states``; writes ``members``, ``probes`` and ``timers``.
    """
    yield from _set_up(world, now_ms)
    if _was_paused(world, now_ms):
        probing.resume(world, now_ms)
    for item in inputs:
        match item:
            case inp.PeerSeen():
                yield from beliefs.seen(world, now_ms, item)
            case inp.PeerMessage(sender, message):
                yield from _on_message(world, now_ms, sender, message)
            case inp.TimerDue(timer):
                yield from _on_timer(world, now_ms, timer)
            case inp.StopRequested():
                yield from _leave(world)
            case inp.StateChanged(number):
                row = queries.own_row(world)._replace(state_number=number)
                world.members[row.entry] = row


def _set_up(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    node = world.node
    if node.ref.entry in world.members:
        return
    world.members[node.ref.entry] = models.MemberRow(
        entry=node.ref.entry,
        incarnation=node.ref.incarnation,
        domain=node.domain,
        address=node.address,
        health=models.Health.ALIVE,
        heard_ms=now_ms,
        state_number=world.states['in-force'].number,
        callers_address=node.callers_address,
    )
    probing.start_round(world, now_ms)
    yield out.Notify(inp.MemberJoined(node.ref))


def _was_paused(world: world_module.World, now_ms: float) -> bool:
    [round_ms] = world.probes.round_ms
    return now_ms - round_ms > const.PAUSED_MS


def _on_message(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    message: object,
) -> abc.Iterator[out.Output]:
    beliefs.heard(world, now_ms, sender)
    match message:
        case messages.Probe(_, number, news):
            yield from _take_in(world, now_ms, news)
            yield from probing.answer(world, sender, message)
            _note_number(world, sender, number)
        case messages.ProbeAnswer(sequence, number, news):
            yield from _take_in(world, now_ms, news)
            yield from probing.answered(world, sender, sequence)
            _note_number(world, sender, number)
        case messages.ProbeFor(sequence, target):
            yield from probing.probe(
                world, now_ms, target, sender.entry, sequence
            )
        case messages.ProbeRelayed():
            probing.relayed(world, now_ms, message)
        case messages.News(news):
            yield from _take_in(world, now_ms, news)
        case messages.MembersAsk():
            yield from gossip.page(world, sender, message)
        case messages.MembersPage(_, _, _, news):
            gossip.turn_page(world, message)
            for row in news:
                yield from beliefs.believe(world, now_ms, row, news=False)


def _on_timer(
    world: world_module.World,
    now_ms: float,
    timer: timers.Timer,
) -> abc.Iterator[out.Output]:
    match timer:
        case timers.ProbeRound():
            yield from probing.next_round(world, now_ms)
        case timers.ProbeTimeout():
            yield from probing.unanswered(world, now_ms, timer)
        case timers.SuspicionTimeout(entry):
            yield from beliefs.give_up(world, now_ms, entry)
        case timers.GossipDue():
            yield from gossip.push(world, now_ms)


def _take_in(
    world: world_module.World,
    now_ms: float,
    news: tuple[models.MemberRow, ...],
) -> abc.Iterator[out.Output]:
    for row in news:
        yield from beliefs.believe(world, now_ms, row)


def _note_number(
    world: world_module.World, sender: ids.EntryRef, number: int
) -> None:
    row = world.members.get(sender.entry)
    if row is not None and number > row.state_number:
        world.members[row.entry] = row._replace(state_number=number)


def _leave(world: world_module.World) -> abc.Iterator[out.Output]:
    """Tell the domain at once that this entry takes nothing new."""
    row = queries.own_row(world)._replace(health=models.Health.LEAVING)
    world.members[row.entry] = row
    world.probes.news[row.entry] = 0
    entries = [x.entry for x in queries.domain_peers(world)]
    yield from gossip.tell(world, entries, (row,))
