"""Decide what to believe of each entry, so that newer word wins."""

from collections import abc
import typing

from zinnialead_core.components.members import const
from zinnialead_core.components.members import gossip
from zinnialead_core.components.members import models
from zinnialead_core.components.members import queries
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module

# Of two rows of the same incarnation and version, the higher one wins.
_SEVERITY = {
    models.Health.ALIVE: 0,
    models.Health.SUSPECT: 1,
    models.Health.LEAVING: 2,
    models.Health.DEAD: 3,
}


class Age(typing.NamedTuple):
    """Order the rows of one entry, the newest word last."""

    incarnation: int
    version: int
    severity: int


def believe(
    world: world_module.World,
    now_ms: float,
    told: models.MemberRow,
    news: bool = True,
) -> abc.Iterator[out.Output]:
    """Take in a row if it is newer than what is known.

    ``news`` says whether peers are to be told.
    """
    if told.entry == world.node.ref.entry:
        _contradict(world, now_ms, told)
        return
    known = world.members.get(told.entry)
    if known is None and told.health is models.Health.DEAD:
        return
    if known is None and len(world.members) >= const.MEMBERS_MAX:
        world.counters['members.full'] += 1
        return
    if known is not None and _age(told) <= _age(known):
        _note_state(world, known, told)
        return
    row = told._replace(heard_ms=known.heard_ms if known else now_ms)
    world.members[row.entry] = row
    if known is None:
        _enlist(world, row)
    _watch_suspicion(world, now_ms, row)
    if news and row.incarnation:
        gossip.spread(world, now_ms, row.entry)
    yield from _tell_systems(known, row)


def heard(
    world: world_module.World, now_ms: float, sender: ids.EntryRef
) -> None:
    """Note that an entry was heard."""
    row = world.members.get(sender.entry)
    if row is not None and row.incarnation == sender.incarnation:
        world.members[row.entry] = row._replace(heard_ms=now_ms)


def suspect(
    world: world_module.World, now_ms: float, entry: ids.EntryId
) -> abc.Iterator[out.Output]:
    """Suspect an entry that answered no probe."""
    row = world.members.get(entry)
    if row is None:
        return
    world.counters['members.suspected'] += 1
    match row.health:
        case models.Health.ALIVE:
            worse = row._replace(health=models.Health.SUSPECT)
            yield from believe(world, now_ms, worse)
        case models.Health.LEAVING:
            _start_suspicion(world, now_ms, row)


def give_up(
    world: world_module.World, now_ms: float, entry: ids.EntryId
) -> abc.Iterator[out.Output]:
    """Take an entry for dead whose suspicion nobody contradicted."""
    row = world.members.get(entry)
    if row is None or row.health is models.Health.DEAD:
        return
    if now_ms - row.heard_ms < _suspicion_ms(world, row):
        _start_suspicion(world, now_ms, row)
        return
    dead = row._replace(health=models.Health.DEAD)
    yield from believe(world, now_ms, dead)


def seen(
    world: world_module.World, now_ms: float, item: inp.PeerSeen
) -> abc.Iterator[out.Output]:
    """Take in the platform's list, which lags: it only adds and hints."""
    row = world.members.get(item.entry)
    if row is None:
        yield from believe(world, now_ms, _listed(item, now_ms))
        return
    if row.entry == world.node.ref.entry:
        if item.leaving and row.health is models.Health.ALIVE:
            yield out.Notify(inp.StopRequested())
        return
    if row.incarnation == 0:
        row = row._replace(domain=item.domain, address=item.address)
        world.members[item.entry] = row
    if row.health is models.Health.DEAD:
        world.members[item.entry] = row._replace(heard_ms=now_ms)
        return
    told = world.probes.listed_leaving
    if item.leaving and told.get(item.entry) != row.incarnation:
        told[item.entry] = row.incarnation
        leaving = row._replace(health=models.Health.LEAVING)
        yield from believe(world, now_ms, leaving)


def forget(world: world_module.World, now_ms: float) -> None:
    """Forget the entries that have been dead for long."""
    for row in list(world.members.values()):
        kept = now_ms - row.heard_ms < const.DEAD_KEPT_MS
        if row.health is models.Health.DEAD and not kept:
            del world.members[row.entry]
            world.probes.listed_leaving.pop(row.entry, None)


def _age(row: models.MemberRow) -> Age:
    return Age(row.incarnation, row.version, _SEVERITY[row.health])


def _listed(item: inp.PeerSeen, now_ms: float) -> models.MemberRow:
    leaving = item.leaving
    return models.MemberRow(
        entry=item.entry,
        incarnation=0,
        domain=item.domain,
        address=item.address,
        health=models.Health.LEAVING if leaving else models.Health.ALIVE,
        heard_ms=now_ms,
        state_number=0,
    )


def _contradict(
    world: world_module.World, now_ms: float, told: models.MemberRow
) -> None:
    """Answer a suspicion of this entry with a newer version of its row."""
    row = queries.own_row(world)
    if told.incarnation > row.incarnation:
        world.counters['members.newer_run_of_me'] += 1
        return
    if _age(told) <= _age(row):
        return
    world.counters['members.contradicted'] += 1
    world.members[row.entry] = row._replace(version=told.version + 1)
    gossip.spread(world, now_ms, row.entry)


def _note_state(
    world: world_module.World,
    known: models.MemberRow,
    told: models.MemberRow,
) -> None:
    same = told.incarnation == known.incarnation
    if same and told.state_number > known.state_number:
        row = known._replace(state_number=told.state_number)
        world.members[row.entry] = row


def _enlist(world: world_module.World, row: models.MemberRow) -> None:
    """Put a new entry in the order of probes, at random.

    Entries that are given the same list must not probe in the same order.
    """
    near = row.domain == world.node.domain
    order = world.probes.order if near else world.probes.foreign_order
    order.insert(world.random.randint(0, len(order)), row.entry)


def _watch_suspicion(
    world: world_module.World, now_ms: float, row: models.MemberRow
) -> None:
    if row.health is models.Health.SUSPECT:
        _start_suspicion(world, now_ms, row)
        return
    timers.stop(world.timers, timers.SuspicionTimeout(row.entry))


def _start_suspicion(
    world: world_module.World, now_ms: float, row: models.MemberRow
) -> None:
    due_ms = now_ms + _suspicion_ms(world, row)
    timers.start(world.timers, timers.SuspicionTimeout(row.entry), due_ms)


def _suspicion_ms(world: world_module.World, row: models.MemberRow) -> float:
    if row.domain == world.node.domain:
        return const.SUSPICION_MS
    return const.SUSPICION_FOREIGN_MS


def _tell_systems(
    known: models.MemberRow | None, row: models.MemberRow
) -> abc.Iterator[out.Output]:
    dead = models.Health.DEAD
    was_alive = known is not None and known.health is not dead
    is_alive = row.health is not dead
    new_run = known is None or known.incarnation != row.incarnation
    if known and was_alive and new_run and known.incarnation:
        yield out.Notify(inp.MemberLost(queries.entry_ref(known)))
    if was_alive and not is_alive:
        yield out.Notify(inp.MemberLost(queries.entry_ref(row)))
    if is_alive and (new_run or not was_alive):
        yield out.Notify(inp.MemberJoined(queries.entry_ref(row)))
    elif is_alive and known and known.health is not row.health:
        yield out.Notify(inp.MemberChanged(queries.entry_ref(row)))
    if known is None or row.health is models.Health.SUSPECT:
        return
    if known.health is not row.health or new_run:
        yield out.LogChange(
            'members',
            row.entry,
            f'{known.health.value} {known.incarnation}',
            f'{row.health.value} {row.incarnation}',
        )
