"""Exchange loads between the slot owners of each service."""

from collections import abc

from zinnialead_core.components.slots import choice
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
    """Tell other slot owners the loads here and take in theirs.

    Reads ``queues``, ``states`` and ``members``; writes ``loads``,
    ``shifts`` and ``timers``.
    """
    for item in inputs:
        match item:
            case inp.PeerMessage(_, messages.LoadReport(rows)):
                for row in rows:
                    redirects.take_in(world, now_ms, row)
            case inp.StateChanged():
                due_ms = now_ms + const.LOAD_PERIOD_MS
                timers.start(world.timers, timers.LoadRound(), due_ms)
            case inp.TimerDue(timers.LoadRound()):
                yield from _round(world, now_ms)


def _round(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    # Rounds of different entries are spread by the jitter.
    period_ms = const.LOAD_PERIOD_MS * world.random.uniform(0.9, 1.1)
    timers.start(world.timers, timers.LoadRound(), now_ms + period_ms)
    rows: dict[ids.EntryId, list[models.LoadRow]] = {}
    for service in world.states['in-force'].services:
        if not ownership.is_owner(world, now_ms, service):
            continue
        row = _row(world, now_ms, service)
        for domain in world.states['in-force'].domains:
            owner = ownership.owner_of(world, now_ms, service, domain)
            if owner is not None and domain != world.node.domain:
                rows.setdefault(owner, []).append(row)
    for owner, told in rows.items():
        yield out.SendPeer(owner, messages.LoadReport(tuple(told)))


def _row(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> models.LoadRow:
    queues = world.queues
    lines = queues.rank_queues.get(service, {})
    load = queues.service_loads.get(service)
    stated = world.states['in-force'].services[service].service_time_ms
    measured = load.service_time_ms if load else None
    return models.LoadRow(
        service=service,
        domain=world.node.domain,
        slots=choice.usable_slots(world, now_ms, service),
        in_use=choice.in_flight(world, service),
        queued=sum(map(len, lines.values())),
        service_time_ms=measured or stated,
        seen_ms=now_ms,
    )
