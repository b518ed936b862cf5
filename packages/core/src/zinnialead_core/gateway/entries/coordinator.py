"""Announce this entry, heartbeat, and remove the registrations of the dead."""

from collections import abc

from zinnialead_core.gateway.entries import const
from zinnialead_core.gateway.entries import members
from zinnialead_core.gateway.entries import models
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import models as store
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_core import timers as timer_table

REGISTRATION = 'registration'


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Keep ``entries``, with a heartbeat each period."""
    for item in inputs:
        match item:
            case inp.Started():
                _next_round(world, now_ms, 0.0)
            case inp.EntryRegistered(row):
                yield from _seen(world, now_ms, row)
            case inp.EntryDeregistered(entry):
                yield from _gone(world, now_ms, entry)
            case inp.EntriesListed(rows):
                yield from _listed(world, now_ms, rows)
            case inp.HeartbeatReceived(heartbeat):
                yield from _heard(world, now_ms, heartbeat)
            case inp.TimerDue(timers.HeartbeatRound()):
                yield from _round(world, now_ms)
            case inp.TimerDue(timers.StoreCallDue('registration')):
                yield _register(world)
            case inp.StoreDone('registration', result):
                yield from _registered(world, now_ms, result)
            case inp.StopRequested():
                world.entries.leaving.add(world.node.ref.entry)
                yield from _beat(world, now_ms, foreign=True)


def _register(world: world_module.World) -> out.CallStore:
    row = members.own_row(world)
    world.entries.rows[row.entry] = row
    return out.CallStore(REGISTRATION, store.RegisterEntry(row))


def _registered(
    world: world_module.World, now_ms: float, result: store.Result
) -> abc.Iterator[out.Output]:
    match result:
        case store.Written():
            return
        case store.Conflict(found) if found is not None:
            # A list that was read earlier did not name this entry's object.
            entry = world.node.ref.entry
            own = members.own_row(world)._replace(revision=found.revision)
            world.entries.rows[entry] = own
            if not _is_of_run(found, own):
                yield _register(world)
            return
    world.counters['entries.registration_failed'] += 1
    due_ms = now_ms + world.random.uniform(200.0, 800.0)
    timer = timers.StoreCallDue(REGISTRATION)
    timer_table.start(world.timers, timer, due_ms)


def _is_of_run(row: models.EntryRow, own: models.EntryRow) -> bool:
    """Return whether a registration was made by this run of the entry."""
    return row.incarnation == own.incarnation


def _seen(
    world: world_module.World, now_ms: float, row: models.EntryRow
) -> abc.Iterator[out.Output]:
    table = world.entries
    known = table.rows.get(row.entry)
    if row.entry == world.node.ref.entry:
        if known is None or row.revision > known.revision:
            own = members.own_row(world)._replace(revision=row.revision)
            is_own = row.incarnation == own.incarnation
            table.rows[row.entry] = row if is_own else own
        return
    if known is not None and not _is_later(row, known):
        return
    table.rows[row.entry] = row
    if known is not None and known.incarnation == row.incarnation:
        return
    if known is not None and row.incarnation < known.incarnation:
        # A clock that was set back numbers a later run lower.
        table.heartbeats.pop(row.entry, None)
    table.seen_ms[row.entry] = now_ms
    # Who has just started learns at once that this entry lives, and where.
    to = (row.peer_address,)
    yield out.SendHeartbeat(to, members.own_heartbeat(world, now_ms))
    yield out.SendChanges(to, _announcement(world))
    yield out.LogStateChange(
        'entries', row.entry, 'unknown', 'registered', row.front_address
    )


def _is_later(row: models.EntryRow, known: models.EntryRow) -> bool:
    """Return whether a row replaces another one of the same entry.

    An entry's own announcement may come before its revision is known.
    """
    if row.revision > known.revision:
        return True
    if row.incarnation == known.incarnation:
        return row.revision == known.revision
    return row.incarnation > known.incarnation


def _announcement(world: world_module.World) -> inp.PeerChanges:
    own = (inp.EntryRegistered(members.own_row(world)),)
    source = str(world.node.ref.entry)
    return inp.PeerChanges(store.Kind.ENTRIES, 0, 0, own, source)


def _gone(
    world: world_module.World, now_ms: float, entry: ids.EntryId
) -> abc.Iterator[out.Output]:
    row = world.entries.rows.get(entry)
    if row is None:
        return
    if entry == world.node.ref.entry:
        world.entries.rows[entry] = row._replace(revision=0)
        if not world.entries.leaving:
            yield _register(world)
        return
    if not members.is_silent(world, now_ms, row):
        # It is heard, and registers again once it learns this.
        world.entries.rows[entry] = row._replace(revision=0)
        return
    world.entries.rows.pop(entry)
    world.entries.heartbeats.pop(entry, None)
    world.entries.seen_ms.pop(entry, None)
    yield out.LogStateChange(
        'entries', entry, 'registered', 'unknown', 'store'
    )


def _listed(
    world: world_module.World,
    now_ms: float,
    rows: abc.Sequence[models.EntryRow],
) -> abc.Iterator[out.Output]:
    own = members.own_row(world)
    named = {row.entry: row for row in rows}
    for row in rows:
        yield from _seen(world, now_ms, row)
    for entry in [x for x in world.entries.rows if x not in named]:
        if entry != own.entry:
            yield from _gone(world, now_ms, entry)
    found = named.get(own.entry)
    if world.entries.leaving or (found and _is_of_run(found, own)):
        return
    if found is None:
        world.entries.rows[own.entry] = own._replace(revision=0)
    yield _register(world)


def _heard(
    world: world_module.World, now_ms: float, heartbeat: models.Heartbeat
) -> abc.Iterator[out.Output]:
    table = world.entries
    known = table.heartbeats.get(heartbeat.entry)
    if (
        known is not None
        and heartbeat.incarnation < known.heartbeat.incarnation
        and now_ms - known.received_ms <= const.SILENCE_MAX_MS
    ):
        return
    table.heartbeats[heartbeat.entry] = models.HeartbeatRow(heartbeat, now_ms)
    if known is None or _differs(known.heartbeat, heartbeat):
        after = 'leaving' if heartbeat.leaving else 'live'
        if not heartbeat.may_read:
            after += ', without the store'
        before = 'unheard' if known is None else 'known'
        yield out.LogStateChange(
            'entries',
            heartbeat.entry,
            before,
            after,
            f'run {heartbeat.incarnation}',
        )


def _differs(known: models.Heartbeat, heartbeat: models.Heartbeat) -> bool:
    """Return whether a heartbeat tells more than how things go on."""
    usual = known._replace(
        latest_revisions=heartbeat.latest_revisions,
        requests_per_s=heartbeat.requests_per_s,
    )
    return usual != heartbeat


def _round(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    rounds = world.entries.heartbeat_rounds
    rounds[0] += 1
    _count_traffic(world, now_ms)
    speaks = members.is_speaker(world, now_ms)
    is_even = rounds[0] % const.SPARSE_ROUND_INTERVAL == 0
    if is_even or speaks or members.has_callers(world):
        yield from _beat(world, now_ms, foreign=is_even and speaks)
    yield from _remove_dead(world, now_ms)
    _next_round(world, now_ms, const.HEARTBEAT_PERIOD_MS)


def _count_traffic(world: world_module.World, now_ms: float) -> None:
    """Work out the requests a second since the round before."""
    known = world.entries.traffic[0]
    arrived = world.counters['requests.arrived']
    requests_per_s = known.requests_per_s
    span_ms = now_ms - known.at_ms
    if span_ms > 0.0:
        since_per_s = (arrived - known.arrived) * const.MS_PER_S / span_ms
        # A caller's burst is taken for real at once, its end later.
        requests_per_s = max(
            since_per_s, known.requests_per_s * const.TRAFFIC_DECAY
        )
    world.entries.traffic[0] = models.TrafficRow(
        arrived, now_ms, requests_per_s
    )


def _beat(
    world: world_module.World, now_ms: float, *, foreign: bool
) -> abc.Iterator[out.Output]:
    node = world.node
    to = tuple(
        row.peer_address
        for row in world.entries.rows.values()
        if row.entry != node.ref.entry
        and (foreign or row.region == node.region)
    )
    if to:
        yield out.SendHeartbeat(to, members.own_heartbeat(world, now_ms))


def _next_round(
    world: world_module.World, now_ms: float, period_ms: float
) -> None:
    due_ms = now_ms + period_ms * world.random.uniform(0.9, 1.1)
    timer_table.start(world.timers, timers.HeartbeatRound(), due_ms)


def _remove_dead(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Remove registrations of the long silent, if that is up to this entry.

    The first live entry by name does it, under the object's revision.
    """
    present = members.present_in_region(world, now_ms)
    if present[0] != world.node.ref.entry or not store.is_available(
        world.store
    ):
        return
    for row in list(world.entries.rows.values()):
        if row.region != world.node.region or str(row.entry) in present:
            continue
        if (
            members.silence_ms(world, now_ms, row.entry)
            > const.REMOVE_AFTER_MS
        ):
            world.entries.seen_ms[row.entry] = now_ms
            yield out.CallStore('removal', store.RemoveEntry(row))
