"""Detect failures by probing a constant number of peers per round."""

from collections import abc

from zinnialead_core.components.members import const
from zinnialead_core.components.members import gossip
from zinnialead_core.components.members import messages
from zinnialead_core.components.members import models
from zinnialead_core.components.members import queries
from zinnialead_core.components.members import updates
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


def run_round(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Start the next round's timer, probe peers and sync a table page."""
    probes = world.probes
    probes.round_count[0] += 1
    start_round_timer(world, now_ms)
    for entry in _round_targets(world):
        yield from probe(world, now_ms, entry)
    yield from gossip.request_page(world, queries.random_peer(world))
    if probes.round_count[0] % const.ROUNDS_PER_CLEANUP == 0:
        updates.remove_dead(world, now_ms)


def start_round_timer(world: world_module.World, now_ms: float) -> None:
    """Start the timer of the next round."""
    jitter = const.PROBE_JITTER * world.random.uniform(-1.0, 1.0)
    due_ms = now_ms + const.PROBE_PERIOD_MS * (1.0 + jitter)
    world.probes.round_due_ms[:] = [due_ms]
    timers.start(world.timers, timers.ProbeRound(), due_ms)


def probe(
    world: world_module.World,
    now_ms: float,
    target: ids.EntryId,
    requester: ids.EntryId | None = None,
    requester_sequence: int = 0,
) -> abc.Iterator[out.Output]:
    """Probe one peer, on behalf of ``requester`` if given."""
    probes = world.probes
    if len(probes.open) >= const.OPEN_PROBES_MAX:
        world.counters['members.probes_full'] += 1
        return
    probes.sequence[0] += 1
    sequence = probes.sequence[0]
    row = models.ProbeRow(target, False, requester, requester_sequence)
    probes.open[sequence] = row
    timeout = timers.ProbeTimeout(target, sequence)
    timers.start(world.timers, timeout, now_ms + const.PROBE_TIMEOUT_MS)
    state_number = _state_number(world)
    news = gossip.piggybacked_rows(world, target)
    yield out.SendPeer(target, messages.Probe(sequence, state_number, news))


def answer(
    world: world_module.World, sender: ids.EntryRef, message: messages.Probe
) -> abc.Iterator[out.Output]:
    """Answer a probe."""
    news = gossip.piggybacked_rows(world, sender.entry)
    state_number = _state_number(world)
    yield out.SendPeer(
        sender.entry,
        messages.ProbeAnswer(message.sequence, state_number, news),
    )


def on_answer(
    world: world_module.World, sender: ids.EntryRef, sequence: int
) -> abc.Iterator[out.Output]:
    """Close an answered probe and notify its requester, if any."""
    row = _close_probe(world, sender.entry, sequence)
    if row is not None and row.requester is not None:
        relayed = messages.ProbeRelayed(row.requester_sequence, sender)
        yield out.SendPeer(row.requester, relayed)


def on_relayed(
    world: world_module.World,
    now_ms: float,
    message: messages.ProbeRelayed,
) -> None:
    """Close a probe that another peer carried out for this entry."""
    if _close_probe(world, message.target.entry, message.sequence) is not None:
        updates.record_contact(world, now_ms, message.target)


def on_timeout(
    world: world_module.World, now_ms: float, timeout: timers.ProbeTimeout
) -> abc.Iterator[out.Output]:
    """Probe a silent peer through others; if that fails, suspect it."""
    row = world.probes.open.get(timeout.sequence)
    if row is None:
        return
    probers = [] if row.indirect else _indirect_probers(world, row.target)
    if row.requester is not None or not probers:
        del world.probes.open[timeout.sequence]
        if row.requester is None:
            yield from updates.suspect(world, now_ms, row.target)
        return
    world.probes.open[timeout.sequence] = row._replace(indirect=True)
    timers.start(world.timers, timeout, now_ms + const.INDIRECT_TIMEOUT_MS)
    for prober in probers:
        ask = messages.ProbeFor(timeout.sequence, row.target)
        yield out.SendPeer(prober, ask)


def reset_after_pause(world: world_module.World, now_ms: float) -> None:
    """Drop open probes after a pause, since peers may have answered.

    Members count as heard from now, so that none is declared dead for
    the time that this process was paused.
    """
    world.counters['members.paused'] += 1
    for sequence, row in list(world.probes.open.items()):
        _close_probe(world, row.target, sequence)
    for member in list(queries.live_peers(world)):
        world.members[member.entry] = member._replace(heard_ms=now_ms)
    start_round_timer(world, now_ms)


def _round_targets(world: world_module.World) -> abc.Iterator[ids.EntryId]:
    probes = world.probes
    rounds = probes.round_count[0]
    yield from _next_target(world, probes.domain_order, queries.domain_peers)
    if rounds % const.ROUNDS_PER_OTHER_DOMAIN_PROBE == 0:
        yield from _next_target(
            world, probes.other_domain_order, queries.other_domain_peers
        )
    if rounds % const.ROUNDS_PER_DEAD_PROBE == 0:
        dead = (
            row
            for row in world.members.values()
            if row.health is models.Health.DEAD
        )
        yield from queries.sample_entries(world, dead, 1)


def _next_target(
    world: world_module.World,
    order: list[ids.EntryId],
    candidates: abc.Callable[
        [world_module.World], abc.Iterator[models.MemberRow]
    ],
) -> abc.Iterator[ids.EntryId]:
    """Yield the next live peer; reshuffle the order when it runs out."""
    if not order:
        order.extend(row.entry for row in candidates(world))
        world.random.shuffle(order)
    while order:
        row = world.members.get(order.pop())
        if row is not None and row.health is not models.Health.DEAD:
            yield row.entry
            return


def _indirect_probers(
    world: world_module.World, target: ids.EntryId
) -> abc.Sequence[ids.EntryId]:
    """Choose peers for indirect probes, from the target's domain if any."""
    row = world.members.get(target)
    if row is None or row.health is models.Health.DEAD:
        return []
    alive = [
        x
        for x in queries.live_peers(world)
        if x.health is models.Health.ALIVE and x.entry != target
    ]
    same_domain = [x for x in alive if x.domain == row.domain]
    return queries.sample_entries(
        world, same_domain or alive, const.INDIRECT_PROBERS
    )


def _close_probe(
    world: world_module.World, target: ids.EntryId, sequence: int
) -> models.ProbeRow | None:
    row = world.probes.open.get(sequence)
    if row is None or row.target != target:
        return None
    del world.probes.open[sequence]
    timers.stop(world.timers, timers.ProbeTimeout(target, sequence))
    return row


def _state_number(world: world_module.World) -> int:
    return world.states['in-force'].number
