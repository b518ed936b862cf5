"""Exchange loads between the slot owners of each service."""

from collections import abc

from zinnialead_core.components.slots import availability
from zinnialead_core.components.slots import ownership
from zinnialead_core.components.steering import const
from zinnialead_core.components.steering import messages
from zinnialead_core.components.steering import models
from zinnialead_core.components.steering import redirects
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
    """Report the loads of this domain to other owners and apply theirs.

    Reads ``queues``, ``states`` and ``members``; writes ``loads``,
    ``shifts`` and ``timers``.
    """
    for event in inputs:
        match event:
            case inp.PeerMessage(_, messages.LoadReport(rows)):
                for row in rows:
                    redirects.apply_load(world, now_ms, row)
            case inp.StateChanged():
                due_ms = now_ms + const.LOAD_PERIOD_MS
                timers.start(world.timers, timers.LoadRound(), due_ms)
            case inp.TimerDue(timers.LoadRound()):
                yield from _send_loads(world, now_ms)


def _send_loads(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    # The jitter spreads the reports of different entries over time.
    period_ms = const.LOAD_PERIOD_MS * world.random.uniform(0.9, 1.1)
    timers.start(world.timers, timers.LoadRound(), now_ms + period_ms)
    rows: dict[ids.EntryId, list[models.LoadRow]] = {}
    for service in world.states['in-force'].services:
        if not ownership.is_owner(world, now_ms, service):
            continue
        row = _load_row(world, now_ms, service)
        for domain in world.states['in-force'].domains:
            owner = ownership.owner_of(world, now_ms, service, domain)
            if owner is not None and domain != world.node.domain:
                rows.setdefault(owner, []).append(row)
    for owner, load_rows in rows.items():
        yield out.SendPeer(owner, messages.LoadReport(tuple(load_rows)))


def _load_row(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> models.LoadRow:
    queues = world.queues
    queues_by_rank = queues.rank_queues.get(service, {})
    load = queues.service_loads.get(service)
    configured_ms = world.states['in-force'].services[service].service_time_ms
    measured_ms = load.service_time_ms if load else None
    return models.LoadRow(
        service=service,
        domain=world.node.domain,
        slots=availability.usable_slots(world, now_ms, service),
        in_use=availability.in_flight(world, service),
        queued=sum(map(len, queues_by_rank.values())),
        service_time_ms=measured_ms or configured_ms,
        seen_ms=now_ms,
    )
