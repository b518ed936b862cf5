"""Send work of every rank, and keep what its callers were told."""

from collections import abc
import itertools
import typing

import trio

from zinnialead_core.components import tickets
from zinnialead_lab.demo import const
from zinnialead_lab.demo import models
from zinnialead_standins import caller as callers

NUMBERS = itertools.count(1)


class Aim(typing.NamedTuple):
    """Say which services of which domains to ask."""

    services: tuple[tickets.ServiceRow, ...]
    domains: tuple[str, ...]


def everywhere(demo: models.Demo) -> Aim:
    """Return an aim at all services from all domains."""
    services = tuple(demo.state.services.values())
    return Aim(services, tuple(demo.callers))


def at_upstream(demo: models.Demo, name: str) -> Aim:
    """Return an aim at the service and domain of one upstream."""
    row = next(x for x in demo.state.upstreams.values() if x.upstream == name)
    return Aim((demo.state.services[row.service],), (row.domain,))


async def calm(demo: models.Demo, part: str, aim: Aim) -> None:
    """Send work of every rank at a rate below capacity."""
    ranks = [rank for rank, _ in const.RANK_SHARES]
    shares = [share for _, share in const.RANK_SHARES]
    until_s = trio.current_time() + const.CALM_S
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until_s:
            service = demo.random.choice(aim.services)
            domain = demo.random.choice(aim.domains)
            [rank] = demo.random.choices(ranks, shares)
            made = _work(service, rank)
            nursery.start_soon(do, demo, domain, part, made)
            pause_s = demo.random.expovariate(const.CALM_PER_S)
            await trio.sleep(pause_s)


async def flood(demo: models.Demo, part: str) -> None:
    """Send night work at once to one domain, and urgent work during it."""
    domain = next(iter(demo.callers))
    service = _scarce(demo, domain)
    async with trio.open_nursery() as nursery:
        for _ in range(const.FLOOD_NIGHT):
            made = _work(service, 'night')
            nursery.start_soon(do, demo, domain, part, made)
        for _ in range(const.FLOOD_URGENT):
            await trio.sleep(const.FLOOD_SPREAD_S / const.FLOOD_URGENT)
            made = _work(service, 'urgent')
            nursery.start_soon(do, demo, domain, part, made)


async def book_twice(
    demo: models.Demo,
) -> abc.Sequence[callers.Outcome]:
    """Send one booking twice at once with one key, at two entries."""
    domain = next(iter(demo.callers))
    caller = demo.callers[domain]
    service = _scarce(demo, domain)
    addresses = await callers.entry_addresses(caller, service.service)
    key = await callers.fresh_key(caller, service.service, addresses[0])
    made = _work(service, 'urgent')._replace(key=key)
    answers: list[callers.Outcome] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_book, caller, made, answers)
        nursery.start_soon(_book, caller, made, answers)
    await _book(caller, made, answers)
    return answers


async def do(
    demo: models.Demo, domain: str, part: str, work: callers.Work
) -> None:
    """Send one piece of work and keep what became of it."""
    answer = await callers.send(demo.callers[domain], work)
    demo.done.append(models.WorkDone(work, part, answer))


async def _book(
    caller: callers.Caller, work: callers.Work, answers: list[callers.Outcome]
) -> None:
    answers.append(await callers.send(caller, work))


def _scarce(demo: models.Demo, domain: str) -> tickets.ServiceRow:
    counts = {
        row.service: sum(
            upstream.slots
            for upstream in demo.state.upstreams.values()
            if (upstream.service, upstream.domain) == (row.service, domain)
        )
        for row in demo.state.services.values()
        if not row.idempotent
    }
    return demo.state.services[min(counts, key=lambda name: counts[name])]


def _work(service: tickets.ServiceRow, rank: str) -> callers.Work:
    return callers.Work(
        name=f'w-{next(NUMBERS)}',
        service=service.service,
        rank=rank,
        keyed=not service.idempotent,
        deadline_ms=const.DEADLINE_MS,
        body=b'{}',
    )
