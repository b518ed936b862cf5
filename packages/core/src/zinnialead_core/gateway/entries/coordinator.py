"""Register this entry, send heartbeats and remove dead entries."""

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
from zinnialead_core import timer_table

REGISTRATION = 'registration'


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Maintain ``entries`` and send a heartbeat each period."""
    for event in inputs:
        match event:
            case inp.Started():
                _next_round(world, now_ms, 0.0)
            case inp.EntryRegistered(row):
                yield from _apply_registration(world, now_ms, row)
            case inp.EntryDeregistered(entry):
                yield from _apply_removal(world, now_ms, entry)
            case inp.EntriesListed(rows):
                yield from _apply_list(world, now_ms, rows)
            case inp.HeartbeatReceived(heartbeat):
                yield from _record_heartbeat(world, now_ms, heartbeat)
            case inp.TimerDue(timers.HeartbeatRound()):
                yield from _run_round(world, now_ms)
            case inp.TimerDue(timers.StoreCallDue('registration')):
                yield _register(world)
            case inp.StoreDone('registration', result):
                yield from _handle_registration_result(world, now_ms, result)
            case inp.ConfigurationRead():
                yield from members.announce(world, now_ms)
            case inp.StoreRestored():
                _forget_revisions(world)
            case inp.StopRequested():
                world.entries.leaving.add(world.node.ref.entry)
                yield from _send_heartbeat(world, now_ms, to_all_regions=True)


def _register(world: world_module.World) -> out.CallStore:
    row = members.own_row(world)
    world.entries.rows[row.entry] = row
    return out.CallStore(REGISTRATION, store.RegisterEntry(row))


def _handle_registration_result(
    world: world_module.World, now_ms: float, result: store.Result
) -> abc.Iterator[out.Output]:
    match result:
        case store.Written():
            return
        case store.Conflict(existing_row) if existing_row is not None:
            # The list that was read before the write did not contain this
            # entry's registration.
            entry = world.node.ref.entry
            own_row = members.own_row(world)._replace(
                revision=existing_row.revision
            )
            world.entries.rows[entry] = own_row
            if not _is_same_run(existing_row, own_row):
                yield _register(world)
            return
        case store.Conflict(None, revision) if revision:
            entry = world.node.ref.entry
            world.entries.rows[entry] = members.own_row(world)._replace(
                revision=revision
            )
            yield _register(world)
            return
    world.counters['entries.registration_failed'] += 1
    due_ms = now_ms + world.random.uniform(200.0, 800.0)
    timer = timers.StoreCallDue(REGISTRATION)
    timer_table.start(world.timers, timer, due_ms)


def _is_same_run(row: models.EntryRow, own_row: models.EntryRow) -> bool:
    """Return whether a registration was made by this run of the entry."""
    return row.incarnation == own_row.incarnation


def _apply_registration(
    world: world_module.World, now_ms: float, row: models.EntryRow
) -> abc.Iterator[out.Output]:
    table = world.entries
    previous = table.rows.get(row.entry)
    if row.entry == world.node.ref.entry:
        if previous is None or row.revision > previous.revision:
            own_row = members.own_row(world)._replace(revision=row.revision)
            is_own = row.incarnation == own_row.incarnation
            table.rows[row.entry] = row if is_own else own_row
        return
    if previous is not None and (
        not _supersedes(row, previous)
        or _is_earlier_run(world, now_ms, row, previous)
    ):
        return
    table.rows[row.entry] = row
    if previous is not None and previous.incarnation == row.incarnation:
        return
    if previous is not None and row.incarnation < previous.incarnation:
        # A later run has a lower incarnation if the clock was set back.
        table.heartbeats.pop(row.entry, None)
    table.seen_ms[row.entry] = now_ms
    if row.region == world.node.region:
        # An entry of the region that has just started learns at once that
        # this one is live, and its address.
        addresses = (row.peer_address,)
        heartbeat = members.own_heartbeat(world, now_ms)
        yield out.SendHeartbeat(addresses, heartbeat)
        yield out.SendChanges(addresses, _announcement(world))
    yield out.LogStateChange(
        'entries', row.entry, 'unknown', 'registered', row.front_address
    )


def _supersedes(row: models.EntryRow, previous: models.EntryRow) -> bool:
    """Return whether a row replaces another one of the same entry.

    An entry may announce itself before it knows its revision.
    """
    if row.revision > previous.revision:
        return True
    if row.incarnation == previous.incarnation:
        return row.revision == previous.revision
    return row.incarnation > previous.incarnation


def _is_earlier_run(
    world: world_module.World,
    now_ms: float,
    row: models.EntryRow,
    previous: models.EntryRow,
) -> bool:
    """Return whether a registration is of a run before the one that is live.

    The store still shows the earlier run if the present one has announced
    itself first, or if the store was restored from a copy.
    """
    return (
        previous.revision == 0
        and row.incarnation < previous.incarnation
        and not members.is_silent(world, now_ms, previous)
    )


def _announcement(world: world_module.World) -> inp.PeerChanges:
    changes = (inp.EntryRegistered(members.own_row(world)),)
    source = str(world.node.ref.entry)
    return inp.PeerChanges(store.Kind.ENTRIES, 0, 0, changes, source)


def _apply_removal(
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
        # Its heartbeats still arrive, and it will register again once it
        # reads the removal.
        world.entries.rows[entry] = row._replace(revision=0)
        return
    world.entries.rows.pop(entry)
    world.entries.heartbeats.pop(entry, None)
    world.entries.seen_ms.pop(entry, None)
    yield out.LogStateChange(
        'entries', entry, 'registered', 'unknown', 'store'
    )


def _apply_list(
    world: world_module.World,
    now_ms: float,
    rows: abc.Sequence[models.EntryRow],
) -> abc.Iterator[out.Output]:
    own_row = members.own_row(world)
    listed = {row.entry: row for row in rows}
    for row in rows:
        yield from _apply_registration(world, now_ms, row)
    for entry in [x for x in world.entries.rows if x not in listed]:
        if entry != own_row.entry:
            yield from _apply_removal(world, now_ms, entry)
    listed_row = listed.get(own_row.entry)
    if world.entries.leaving or (
        listed_row and _is_same_run(listed_row, own_row)
    ):
        return
    if listed_row is None:
        world.entries.rows[own_row.entry] = own_row._replace(revision=0)
    yield _register(world)


def _forget_revisions(world: world_module.World) -> None:
    """Let any registration that the restored store holds replace a row."""
    for entry, row in world.entries.rows.items():
        world.entries.rows[entry] = row._replace(revision=0)


def _record_heartbeat(
    world: world_module.World, now_ms: float, heartbeat: models.Heartbeat
) -> abc.Iterator[out.Output]:
    table = world.entries
    previous = table.heartbeats.get(heartbeat.entry)
    if (
        previous is not None
        and heartbeat.incarnation < previous.heartbeat.incarnation
        and now_ms - previous.received_ms <= const.SILENCE_MAX_MS
    ):
        return
    table.heartbeats[heartbeat.entry] = models.HeartbeatRow(heartbeat, now_ms)
    if previous is None or _is_state_change(previous.heartbeat, heartbeat):
        after = 'leaving' if heartbeat.leaving else 'live'
        if not heartbeat.may_read:
            after += ', without the store'
        before = 'unheard' if previous is None else 'known'
        yield out.LogStateChange(
            'entries',
            heartbeat.entry,
            before,
            after,
            f'run {heartbeat.incarnation}',
        )


def _is_state_change(
    previous: models.Heartbeat, heartbeat: models.Heartbeat
) -> bool:
    """Return whether more than revisions and traffic has changed."""
    unchanged = previous._replace(
        latest_revisions=heartbeat.latest_revisions,
        requests_per_s=heartbeat.requests_per_s,
        era=heartbeat.era,
    )
    return unchanged != heartbeat


def _run_round(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    rounds = world.entries.heartbeat_rounds
    rounds[0] += 1
    _update_traffic(world, now_ms)
    is_remote_sender = members.sends_to_remote_regions(world, now_ms)
    is_even = rounds[0] % const.SPARSE_ROUND_INTERVAL == 0
    if is_even or is_remote_sender or members.has_callers(world):
        yield from _send_heartbeat(
            world, now_ms, to_all_regions=is_even and is_remote_sender
        )
    yield from _remove_dead(world, now_ms)
    _next_round(world, now_ms, const.HEARTBEAT_PERIOD_MS)


def _update_traffic(world: world_module.World, now_ms: float) -> None:
    """Update the rate of requests since the previous round."""
    previous = world.entries.traffic[0]
    arrived = world.counters['requests.arrived']
    requests_per_s = previous.requests_per_s
    span_ms = now_ms - previous.at_ms
    if span_ms > 0.0:
        new_per_s = (arrived - previous.requests) * const.MS_PER_S / span_ms
        # The rate rises at once, but falls slowly after a burst.
        requests_per_s = max(
            new_per_s, previous.requests_per_s * const.TRAFFIC_DECAY
        )
    world.entries.traffic[0] = models.TrafficRow(
        arrived, now_ms, requests_per_s
    )


def _send_heartbeat(
    world: world_module.World, now_ms: float, *, to_all_regions: bool
) -> abc.Iterator[out.Output]:
    node = world.node
    addresses = tuple(
        row.peer_address
        for row in world.entries.rows.values()
        if row.entry != node.ref.entry
        and (to_all_regions or row.region == node.region)
    )
    if addresses:
        yield out.SendHeartbeat(
            addresses, members.own_heartbeat(world, now_ms)
        )


def _next_round(
    world: world_module.World, now_ms: float, period_ms: float
) -> None:
    due_ms = now_ms + period_ms * world.random.uniform(0.9, 1.1)
    timer_table.start(world.timers, timers.HeartbeatRound(), due_ms)


def _remove_dead(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Remove the registrations of entries that were silent for too long.

    Only the region's first live entry by name does so, and only if the
    registration's revision has not changed.
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
