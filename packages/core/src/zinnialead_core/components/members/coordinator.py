"""Dispatch inputs to the handlers that maintain the members table."""

from collections import abc

from zinnialead_core.components.members import const
from zinnialead_core.components.members import gossip
from zinnialead_core.components.members import messages
from zinnialead_core.components.members import models
from zinnialead_core.components.members import probing
from zinnialead_core.components.members import queries
from zinnialead_core.components.members import updates
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
    """Probe peers, detect failures and gossip about changes.

    Reads ``states``; writes ``members``, ``probes`` and ``timers``.
    """
    yield from _add_own_row(world, now_ms)
    if _was_paused(world, now_ms):
        probing.reset_after_pause(world, now_ms)
    for event in inputs:
        match event:
            case inp.PeerSeen():
                yield from updates.apply_listing(world, now_ms, event)
            case inp.PeerMessage(sender, message):
                yield from _on_message(world, now_ms, sender, message)
            case inp.TimerDue(timer):
                yield from _on_timer(world, now_ms, timer)
            case inp.StopRequested():
                yield from _announce_leaving(world)
            case inp.StateChanged(state_number):
                row = queries.own_row(world)._replace(
                    state_number=state_number
                )
                world.members[row.entry] = row


def _add_own_row(
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
    probing.start_round_timer(world, now_ms)
    yield out.Notify(inp.MemberJoined(node.ref))


def _was_paused(world: world_module.World, now_ms: float) -> bool:
    [round_due_ms] = world.probes.round_due_ms
    return now_ms - round_due_ms > const.LATE_ROUND_MS


def _on_message(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    message: object,
) -> abc.Iterator[out.Output]:
    updates.record_contact(world, now_ms, sender)
    match message:
        case messages.Probe(_, state_number, news):
            yield from _apply_news(world, now_ms, news)
            yield from probing.answer(world, sender, message)
            _update_state_number(world, sender, state_number)
        case messages.ProbeAnswer(sequence, state_number, news):
            yield from _apply_news(world, now_ms, news)
            yield from probing.on_answer(world, sender, sequence)
            _update_state_number(world, sender, state_number)
        case messages.ProbeFor(sequence, target):
            yield from probing.probe(
                world, now_ms, target, sender.entry, sequence
            )
        case messages.ProbeRelayed():
            probing.on_relayed(world, now_ms, message)
        case messages.News(news):
            yield from _apply_news(world, now_ms, news)
        case messages.MembersAsk():
            yield from gossip.send_page(world, sender, message)
        case messages.MembersPage(_, _, _, news):
            gossip.advance_cursor(world, message)
            for row in news:
                yield from updates.apply_update(
                    world, now_ms, row, announce=False
                )


def _on_timer(
    world: world_module.World,
    now_ms: float,
    timer: timers.Timer,
) -> abc.Iterator[out.Output]:
    match timer:
        case timers.ProbeRound():
            yield from probing.run_round(world, now_ms)
        case timers.ProbeTimeout():
            yield from probing.on_timeout(world, now_ms, timer)
        case timers.SuspicionTimeout(entry):
            yield from updates.declare_dead(world, now_ms, entry)
        case timers.GossipDue():
            yield from gossip.push_urgent(world, now_ms)


def _apply_news(
    world: world_module.World,
    now_ms: float,
    news: tuple[models.MemberRow, ...],
) -> abc.Iterator[out.Output]:
    for row in news:
        yield from updates.apply_update(world, now_ms, row)


def _update_state_number(
    world: world_module.World, sender: ids.EntryRef, state_number: int
) -> None:
    row = world.members.get(sender.entry)
    if row is not None and state_number > row.state_number:
        world.members[row.entry] = row._replace(state_number=state_number)


def _announce_leaving(world: world_module.World) -> abc.Iterator[out.Output]:
    """Tell the domain at once that this entry accepts no new work."""
    row = queries.own_row(world)._replace(health=models.Health.LEAVING)
    world.members[row.entry] = row
    world.probes.news_send_counts[row.entry] = 0
    entries = [x.entry for x in queries.domain_peers(world)]
    yield from gossip.send_news(world, entries, (row,))
