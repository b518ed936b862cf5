"""Probe a constant number of peers in each round."""

from collections import abc

from zinnialead_core.components.members import beliefs
from zinnialead_core.components.members import const
from zinnialead_core.components.members import gossip
from zinnialead_core.components.members import messages
from zinnialead_core.components.members import models
from zinnialead_core.components.members import queries
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


def next_round(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Probe the next peers and start the timer of the next round."""
    probes = world.probes
    probes.rounds[0] += 1
    start_round(world, now_ms)
    for entry in _targets(world):
        yield from probe(world, now_ms, entry)
    yield from gossip.sync(world, queries.random_peer(world))
    if probes.rounds[0] % const.ROUNDS_PER_FORGETTING == 0:
        beliefs.forget(world, now_ms)


def start_round(world: world_module.World, now_ms: float) -> None:
    """Start the timer of the next round."""
    jitter = const.PROBE_JITTER * world.random.uniform(-1.0, 1.0)
    due_ms = now_ms + const.PROBE_PERIOD_MS * (1.0 + jitter)
    world.probes.round_ms[:] = [due_ms]
    timers.start(world.timers, timers.ProbeRound(), due_ms)


def probe(
    world: world_module.World,
    now_ms: float,
    target: ids.EntryId,
    origin: ids.EntryId | None = None,
    origin_sequence: int = 0,
) -> abc.Iterator[out.Output]:
    """Probe one peer, in the place of ``origin`` if given."""
    probes = world.probes
    if len(probes.open) >= const.OPEN_PROBES_MAX:
        world.counters['members.probes_full'] += 1
        return
    probes.sequence[0] += 1
    sequence = probes.sequence[0]
    row = models.ProbeRow(target, False, origin, origin_sequence)
    probes.open[sequence] = row
    timeout = timers.ProbeTimeout(target, sequence)
    timers.start(world.timers, timeout, now_ms + const.PROBE_TIMEOUT_MS)
    number = _state_number(world)
    news = gossip.news(world, target)
    yield out.SendPeer(target, messages.Probe(sequence, number, news))


def answer(
    world: world_module.World, sender: ids.EntryRef, asked: messages.Probe
) -> abc.Iterator[out.Output]:
    """Answer a probe."""
    news = gossip.news(world, sender.entry)
    number = _state_number(world)
    yield out.SendPeer(
        sender.entry, messages.ProbeAnswer(asked.sequence, number, news)
    )


def answered(
    world: world_module.World, sender: ids.EntryRef, sequence: int
) -> abc.Iterator[out.Output]:
    """Close a probe, and tell whom it was sent for."""
    row = _close(world, sender.entry, sequence)
    if row is not None and row.origin is not None:
        relayed = messages.ProbeRelayed(row.origin_sequence, sender)
        yield out.SendPeer(row.origin, relayed)


def relayed(
    world: world_module.World,
    now_ms: float,
    message: messages.ProbeRelayed,
) -> None:
    """Close a probe that a peer made in this entry's place."""
    if _close(world, message.target.entry, message.sequence) is not None:
        beliefs.heard(world, now_ms, message.target)


def unanswered(
    world: world_module.World, now_ms: float, timeout: timers.ProbeTimeout
) -> abc.Iterator[out.Output]:
    """Ask others to probe a silent peer, then suspect it."""
    row = world.probes.open.get(timeout.sequence)
    if row is None:
        return
    helpers = [] if row.indirect else _helpers(world, row.target)
    if row.origin is not None or not helpers:
        del world.probes.open[timeout.sequence]
        if row.origin is None:
            yield from beliefs.suspect(world, now_ms, row.target)
        return
    world.probes.open[timeout.sequence] = row._replace(indirect=True)
    timers.start(world.timers, timeout, now_ms + const.INDIRECT_TIMEOUT_MS)
    for helper in helpers:
        ask = messages.ProbeFor(timeout.sequence, row.target)
        yield out.SendPeer(helper, ask)


def resume(world: world_module.World, now_ms: float) -> None:
    """Start afresh after a pause, which proves nothing about the peers."""
    world.counters['members.paused'] += 1
    for sequence, row in list(world.probes.open.items()):
        _close(world, row.target, sequence)
    for member in list(queries.live_peers(world)):
        world.members[member.entry] = member._replace(heard_ms=now_ms)
    start_round(world, now_ms)


def _targets(world: world_module.World) -> abc.Iterator[ids.EntryId]:
    probes = world.probes
    rounds = probes.rounds[0]
    yield from _next(world, probes.order, queries.domain_peers)
    if rounds % const.ROUNDS_PER_FOREIGN_PROBE == 0:
        yield from _next(
            world, probes.foreign_order, queries.other_domain_peers
        )
    if rounds % const.ROUNDS_PER_DEAD_PROBE == 0:
        dead = (
            row
            for row in world.members.values()
            if row.health is models.Health.DEAD
        )
        yield from queries.sample_entries(world, dead, 1)


def _next(
    world: world_module.World,
    order: list[ids.EntryId],
    candidates: abc.Callable[
        [world_module.World], abc.Iterator[models.MemberRow]
    ],
) -> abc.Iterator[ids.EntryId]:
    """Take the next peer in an order that is shuffled after each turn."""
    if not order:
        order.extend(row.entry for row in candidates(world))
        world.random.shuffle(order)
    while order:
        row = world.members.get(order.pop())
        if row is not None and row.health is not models.Health.DEAD:
            yield row.entry
            return


def _helpers(
    world: world_module.World, target: ids.EntryId
) -> abc.Sequence[ids.EntryId]:
    """Choose peers to probe in this entry's place, near the target."""
    row = world.members.get(target)
    if row is None or row.health is models.Health.DEAD:
        return []
    alive = [
        x
        for x in queries.live_peers(world)
        if x.health is models.Health.ALIVE and x.entry != target
    ]
    near = [x for x in alive if x.domain == row.domain]
    return queries.sample_entries(world, near or alive, const.INDIRECT_HELPERS)


def _close(
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
