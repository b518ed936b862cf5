"""Repeat open asks and renew leases at the current slot owners."""

from collections import abc

from zinnialead_core.components.slots import asker
from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import models
from zinnialead_core.components.slots import ownership
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


def on_timer(
    world: world_module.World, now_ms: float, ask_id: ids.AskId
) -> abc.Iterator[out.Output]:
    """Repeat an open ask, or renew the lease of a slot in use."""
    row = world.asks.get(ask_id)
    if row is None:
        return
    owner = ownership.owner_of(world, now_ms, row.service, row.domain)
    if owner is not None and owner != row.owner:
        yield from _move_to_owner(world, now_ms, row, owner)
    elif row.upstream is not None:
        yield from _renew_lease(world, now_ms, row)
    elif row.misses >= const.ASK_MISSES_MAX:
        yield from _on_silent_owner(world, now_ms, row)
    else:
        yield from _ask_again(world, now_ms, row)


def on_owners_changed(
    world: world_module.World,
    now_ms: float,
    restarted: abc.Set[ids.EntryId],
) -> abc.Iterator[out.Output]:
    """Send open asks and slots in use to their current owners.

    ``restarted`` are entries that have lost their state in a restart.
    """
    for row in list(world.asks.values()):
        owner = ownership.owner_of(world, now_ms, row.service, row.domain)
        if owner is not None and (owner != row.owner or owner in restarted):
            yield from _move_to_owner(world, now_ms, row, owner)


def _ask_again(
    world: world_module.World, now_ms: float, row: models.AskRow
) -> abc.Iterator[out.Output]:
    world.counters['slots.asked_again'] += 1
    repeated = row._replace(
        misses=row.misses + 1,
        backoff_steps=min(row.backoff_steps + 1, const.ASK_BACKOFF_STEPS_MAX),
    )
    yield from asker.send(world, now_ms, repeated)


def _on_silent_owner(
    world: world_module.World, now_ms: float, row: models.AskRow
) -> abc.Iterator[out.Output]:
    world.counters['slots.owner_silent'] += 1
    if row.domain == world.node.domain:
        # Membership will soon provide another owner: repeat the ask.
        yield from _ask_again(world, now_ms, row)
        return
    yield out.SendPeer(row.owner, messages.SlotReturn(row.ask_id, None))
    yield from asker.skip_domain(world, now_ms, row, row.refusal)


def _move_to_owner(
    world: world_module.World,
    now_ms: float,
    row: models.AskRow,
    owner: ids.EntryId,
) -> abc.Iterator[out.Output]:
    world.counters['slots.owner_changed'] += 1
    moved = row._replace(owner=owner, misses=0, backoff_steps=0)
    if row.upstream is not None:
        yield from _renew_lease(world, now_ms, moved)
        return
    if row.owner != owner:
        yield out.SendPeer(row.owner, messages.SlotReturn(row.ask_id, None))
    yield from asker.send(world, now_ms, moved)


def _renew_lease(
    world: world_module.World, now_ms: float, row: models.AskRow
) -> abc.Iterator[out.Output]:
    world.asks[row.ask_id] = row
    if row.upstream is None:
        return
    due_ms = now_ms + const.LEASE_RENEWAL_PERIOD_MS
    timers.start(world.timers, timers.AskTimeout(row.ask_id), due_ms)
    report = messages.SlotHeldReport(
        row.ask_id, row.service, row.rank, row.upstream, world.node.domain
    )
    yield out.SendPeer(row.owner, report)
