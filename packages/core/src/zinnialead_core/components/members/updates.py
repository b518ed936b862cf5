"""Apply updates to the members table; the newest information wins."""

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

# Of two rows with the same incarnation and version, the higher one wins.
_SEVERITY = {
    models.Health.ALIVE: 0,
    models.Health.SUSPECT: 1,
    models.Health.LEAVING: 2,
    models.Health.DEAD: 3,
}


class Precedence(typing.NamedTuple):
    """Order the rows of one entry, the newest information last."""

    incarnation: int
    version: int
    severity: int


def apply_update(
    world: world_module.World,
    now_ms: float,
    update: models.MemberRow,
    announce: bool = True,
) -> abc.Iterator[out.Output]:
    """Apply a row if it is newer than the current one.

    ``announce`` queues the row to be gossiped.
    """
    if update.entry == world.node.ref.entry:
        _refute(world, now_ms, update)
        return
    current = world.members.get(update.entry)
    if current is None and update.health is models.Health.DEAD:
        return
    if current is None and len(world.members) >= const.MEMBERS_MAX:
        world.counters['members.full'] += 1
        return
    if current is not None and _precedence(update) <= _precedence(current):
        _update_state_number(world, current, update)
        return
    row = update._replace(heard_ms=current.heard_ms if current else now_ms)
    world.members[row.entry] = row
    if current is None:
        _add_to_probe_order(world, row)
    _update_suspicion_timer(world, now_ms, row)
    if announce and row.incarnation:
        gossip.queue_news(world, now_ms, row.entry)
    yield from _notify_systems(current, row)


def record_contact(
    world: world_module.World, now_ms: float, sender: ids.EntryRef
) -> None:
    """Record the time of a message from an entry."""
    row = world.members.get(sender.entry)
    if row is not None and row.incarnation == sender.incarnation:
        world.members[row.entry] = row._replace(heard_ms=now_ms)


def suspect(
    world: world_module.World, now_ms: float, entry: ids.EntryId
) -> abc.Iterator[out.Output]:
    """Suspect an entry that did not answer a probe, direct or indirect."""
    row = world.members.get(entry)
    if row is None:
        return
    world.counters['members.suspected'] += 1
    match row.health:
        case models.Health.ALIVE:
            suspected = row._replace(health=models.Health.SUSPECT)
            yield from apply_update(world, now_ms, suspected)
        case models.Health.LEAVING:
            _start_suspicion(world, now_ms, row)


def declare_dead(
    world: world_module.World, now_ms: float, entry: ids.EntryId
) -> abc.Iterator[out.Output]:
    """Declare a suspected entry dead unless it was heard from since."""
    row = world.members.get(entry)
    if row is None or row.health is models.Health.DEAD:
        return
    if now_ms - row.heard_ms < _suspicion_ms(world, row):
        _start_suspicion(world, now_ms, row)
        return
    dead = row._replace(health=models.Health.DEAD)
    yield from apply_update(world, now_ms, dead)


def apply_listing(
    world: world_module.World, now_ms: float, listing: inp.PeerSeen
) -> abc.Iterator[out.Output]:
    """Apply an item of the platform's list.

    The list lags, so it only adds entries and marks them as leaving; it
    never removes or revives one.  This entry stops if it is so marked.
    """
    row = world.members.get(listing.entry)
    if row is None:
        yield from apply_update(world, now_ms, _listed_row(listing, now_ms))
        return
    if row.entry == world.node.ref.entry:
        if listing.leaving and row.health is models.Health.ALIVE:
            yield out.Notify(inp.StopRequested())
        return
    if row.incarnation == 0:
        row = row._replace(domain=listing.domain, address=listing.address)
        world.members[listing.entry] = row
    if row.health is models.Health.DEAD:
        world.members[listing.entry] = row._replace(heard_ms=now_ms)
        return
    listed_leaving = world.probes.listed_leaving
    if (
        listing.leaving
        and listed_leaving.get(listing.entry) != row.incarnation
    ):
        listed_leaving[listing.entry] = row.incarnation
        leaving = row._replace(health=models.Health.LEAVING)
        yield from apply_update(world, now_ms, leaving)


def remove_dead(world: world_module.World, now_ms: float) -> None:
    """Remove dead entries not heard from for ``DEAD_RETENTION_MS``."""
    for row in list(world.members.values()):
        is_recent = now_ms - row.heard_ms < const.DEAD_RETENTION_MS
        if row.health is models.Health.DEAD and not is_recent:
            del world.members[row.entry]
            world.probes.listed_leaving.pop(row.entry, None)


def _precedence(row: models.MemberRow) -> Precedence:
    return Precedence(row.incarnation, row.version, _SEVERITY[row.health])


def _listed_row(listing: inp.PeerSeen, now_ms: float) -> models.MemberRow:
    leaving = listing.leaving
    return models.MemberRow(
        entry=listing.entry,
        incarnation=0,
        domain=listing.domain,
        address=listing.address,
        health=models.Health.LEAVING if leaving else models.Health.ALIVE,
        heard_ms=now_ms,
        state_number=0,
    )


def _refute(
    world: world_module.World, now_ms: float, update: models.MemberRow
) -> None:
    """Refute an update about this entry by a newer version of its row."""
    row = queries.own_row(world)
    if update.incarnation > row.incarnation:
        world.counters['members.newer_run_of_me'] += 1
        return
    if _precedence(update) <= _precedence(row):
        return
    world.counters['members.contradicted'] += 1
    world.members[row.entry] = row._replace(version=update.version + 1)
    gossip.queue_news(world, now_ms, row.entry)


def _update_state_number(
    world: world_module.World,
    current: models.MemberRow,
    update: models.MemberRow,
) -> None:
    same_incarnation = update.incarnation == current.incarnation
    if same_incarnation and update.state_number > current.state_number:
        row = current._replace(state_number=update.state_number)
        world.members[row.entry] = row


def _add_to_probe_order(
    world: world_module.World, row: models.MemberRow
) -> None:
    """Insert a new entry at a random position in the probe order.

    Entries that receive the same list must not probe in the same order.
    """
    same_domain = row.domain == world.node.domain
    order = (
        world.probes.domain_order
        if same_domain
        else world.probes.other_domain_order
    )
    order.insert(world.random.randint(0, len(order)), row.entry)


def _update_suspicion_timer(
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
        return const.SUSPICION_TIMEOUT_MS
    return const.SUSPICION_TIMEOUT_OTHER_DOMAIN_MS


def _notify_systems(
    current: models.MemberRow | None, row: models.MemberRow
) -> abc.Iterator[out.Output]:
    dead = models.Health.DEAD
    was_alive = current is not None and current.health is not dead
    is_alive = row.health is not dead
    new_incarnation = current is None or current.incarnation != row.incarnation
    if current and was_alive and new_incarnation and current.incarnation:
        yield out.Notify(inp.MemberLost(queries.entry_ref(current)))
    if was_alive and not is_alive:
        yield out.Notify(inp.MemberLost(queries.entry_ref(row)))
    if is_alive and (new_incarnation or not was_alive):
        yield out.Notify(inp.MemberJoined(queries.entry_ref(row)))
    elif is_alive and current and current.health is not row.health:
        yield out.Notify(inp.MemberChanged(queries.entry_ref(row)))
    if current is None or row.health is models.Health.SUSPECT:
        return
    if current.health is not row.health or new_incarnation:
        yield out.LogChange(
            'members',
            row.entry,
            f'{current.health.value} {current.incarnation}',
            f'{row.health.value} {row.incarnation}',
        )
