"""Send work of every rank, and record its outcomes."""

from collections import abc
import itertools
import typing

import trio

from zinnialead_core.components import tickets
from zinnialead_lab.demo import const
from zinnialead_lab.demo import models
from zinnialead_standins import caller as callers

WORK_NUMBERS = itertools.count(1)


class Target(typing.NamedTuple):
    """Hold the services that work is for and the domains it is sent from."""

    services: tuple[tickets.ServiceRow, ...]
    domains: tuple[str, ...]


def whole_deployment(demo: models.Demo) -> Target:
    """Return all services as a target, called from all domains."""
    services = tuple(demo.state.services.values())
    return Target(services, tuple(demo.callers))


def upstream_target(demo: models.Demo, name: str) -> Target:
    """Return the service of one upstream, called from its domain."""
    row = next(
        candidate
        for candidate in demo.state.upstreams.values()
        if candidate.upstream == name
    )
    return Target((demo.state.services[row.service],), (row.domain,))


async def send_steadily(demo: models.Demo, part: str, target: Target) -> None:
    """Send work of every rank at a rate below capacity."""
    ranks = [rank for rank, _ in const.RANK_SHARES]
    shares = [share for _, share in const.RANK_SHARES]
    end_s = trio.current_time() + const.CALM_DURATION_S
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            service = demo.random.choice(target.services)
            domain = demo.random.choice(target.domains)
            [rank] = demo.random.choices(ranks, shares)
            work = _new_work(service, rank)
            nursery.start_soon(send_work, demo, domain, part, work)
            pause_s = demo.random.expovariate(const.CALM_REQUESTS_PER_S)
            await trio.sleep(pause_s)


async def send_flood(demo: models.Demo, part: str) -> None:
    """Send a burst of night work to one domain, and urgent work during it."""
    domain = next(iter(demo.callers))
    service = _scarcest_service(demo, domain)
    async with trio.open_nursery() as nursery:
        for _ in range(const.FLOOD_NIGHT_COUNT):
            work = _new_work(service, 'night')
            nursery.start_soon(send_work, demo, domain, part, work)
        for _ in range(const.FLOOD_URGENT_COUNT):
            await trio.sleep(
                const.FLOOD_URGENT_SPAN_S / const.FLOOD_URGENT_COUNT
            )
            work = _new_work(service, 'urgent')
            nursery.start_soon(send_work, demo, domain, part, work)


async def book_repeatedly(
    demo: models.Demo,
) -> abc.Sequence[callers.Outcome]:
    """Send one booking three times with one key: two at once, one later."""
    domain = next(iter(demo.callers))
    caller = demo.callers[domain]
    service = _scarcest_service(demo, domain)
    addresses = await callers.entry_addresses(caller, service.service)
    key = await callers.fresh_key(caller, service.service, addresses[0])
    work = _new_work(service, 'urgent')._replace(key=key)
    outcomes: list[callers.Outcome] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_booking, caller, work, outcomes)
        nursery.start_soon(_send_booking, caller, work, outcomes)
    await _send_booking(caller, work, outcomes)
    return outcomes


async def send_work(
    demo: models.Demo, domain: str, part: str, work: callers.Work
) -> None:
    """Send one piece of work and record its outcome."""
    outcome = await callers.send(demo.callers[domain], work)
    demo.sent_work.append(models.SentWork(work, part, outcome))


async def _send_booking(
    caller: callers.Caller, work: callers.Work, outcomes: list[callers.Outcome]
) -> None:
    outcomes.append(await callers.send(caller, work))


def _scarcest_service(demo: models.Demo, domain: str) -> tickets.ServiceRow:
    slots = {
        row.service: sum(
            upstream.slots
            for upstream in demo.state.upstreams.values()
            if (upstream.service, upstream.domain) == (row.service, domain)
        )
        for row in demo.state.services.values()
        if not row.idempotent
    }
    return demo.state.services[min(slots, key=lambda name: slots[name])]


def _new_work(service: tickets.ServiceRow, rank: str) -> callers.Work:
    return callers.Work(
        name=f'w-{next(WORK_NUMBERS)}',
        service=service.service,
        rank=rank,
        keyed=not service.idempotent,
        deadline_ms=const.DEADLINE_MS,
        body=b'{}',
    )
