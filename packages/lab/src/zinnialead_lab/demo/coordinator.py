"""Lead through the demonstration, one part after the other."""

from collections import abc
import pathlib

import rich.console
import trio

import zinnialead_config
from zinnialead_config import filing
from zinnialead_core import inputs as inp
from zinnialead_daemon.components import engine as engines
from zinnialead_lab.demo import checks
from zinnialead_lab.demo import const
from zinnialead_lab.demo import declarations
from zinnialead_lab.demo import deployment
from zinnialead_lab.demo import models
from zinnialead_lab.demo import report
from zinnialead_lab.demo import work
from zinnialead_standins import caller as callers


def main(name: str, seed: int = 1, examples: str = 'examples') -> int:
    """Run the demonstration and return its exit code."""
    options = models.Options(name, seed, pathlib.Path(examples))
    return trio.run(_run, options)


async def _run(options: models.Options) -> int:
    console = rich.console.Console()
    console.print(f'[bold]{options.deployment}[/] on loopback')
    async with trio.open_nursery() as nursery:
        demo = await deployment.start(options, console, nursery)
        console.print(
            f'{len(demo.entries)} entries in {len(demo.callers)} failure'
            f' domains, {len(demo.upstreams)} upstreams'
        )
        for part in PARTS:
            await part(demo)
        demo.checks.extend(checks.after(demo))
        console.print(report.service_by_rank(demo))
        console.print(report.checks(demo))
        nursery.cancel_scope.cancel()
    holds = all(check.holds for check in demo.checks)
    return 0 if holds else const.EXIT_BROKEN


async def _file_first(demo: models.Demo) -> None:
    addresses = {
        str(name): row.address for name, row in demo.state.upstreams.items()
    }
    ticket = declarations.ticket(demo.options, const.FIRST_TICKET, addresses)
    await _file(demo, ticket)


async def _calm(demo: models.Demo) -> None:
    demo.console.print('work of every rank')
    await work.calm(demo, 'calm', work.everywhere(demo))


async def _book_twice(demo: models.Demo) -> None:
    demo.console.print('one booking, three times with one key')
    answers = await work.book_twice(demo)
    ran = [item for item in answers if isinstance(item, callers.Ran)]
    bodies = {item.body for item in ran}
    name = next(iter(bodies), b'').split(b' ')[0].decode()
    runs = len(demo.ledger.runs.get(name, ()))
    seen = f'{len(ran)} told that it ran, {runs} runs'
    once = bool(ran) and len(bodies) == 1 and runs == 1
    demo.checks.append(models.Check('one key, one run', once, seen))


async def _flood(demo: models.Demo) -> None:
    demo.console.print('a flood of night work in one domain')
    await work.flood(demo, 'flood')


async def _drain(demo: models.Demo) -> None:
    ticket = declarations.ticket(demo.options, const.DRAIN_TICKET, {})
    [name] = _drained(ticket)
    demo.console.print(f'drain of {name} while work goes on')
    async with trio.open_nursery() as nursery:
        aim = work.at_upstream(demo, name)
        nursery.start_soon(work.calm, demo, 'drain', aim)
        await trio.sleep(const.CALM_S / 3)
        before = demo.upstreams[name].started
        filed_ms = trio.current_time() * const.MS_PER_S
        await _file(demo, ticket)
    last_ms = demo.upstreams[name].last_start_ms - filed_ms
    demo.checks.append(
        models.Check(
            'no new work 3 s after a drain',
            last_ms <= const.DRAIN_BOUND_MS,
            f'{before} runs before, the last new one {last_ms:+.0f} ms'
            ' from filing',
        )
    )


async def _stop(demo: models.Demo) -> None:
    name = list(demo.entries)[-1]
    demo.console.print(f'graceful stop of entry {name} while work goes on')
    application = demo.entries[name].application
    async with trio.open_nursery() as nursery:
        aim = work.everywhere(demo)
        nursery.start_soon(work.calm, demo, 'stop', aim)
        await trio.sleep(const.CALM_S / 3)
        engines.feed(application.engine, inp.StopRequested())
    cut = [
        row
        for row in demo.done
        if row.part in {'drain', 'stop'}
        and isinstance(row.answer, callers.MayHaveRun)
    ]
    demo.checks.append(
        models.Check(
            'nothing cut by the drain and the stop',
            application.stopped.is_set() and not cut,
            f'{len(cut)} cut, entry stopped: {application.stopped.is_set()}',
        )
    )


async def _kill(demo: models.Demo) -> None:
    name = next(iter(demo.entries))
    demo.console.print(f'kill of entry {name} while work goes on')
    async with trio.open_nursery() as nursery:
        aim = work.everywhere(demo)
        nursery.start_soon(work.calm, demo, 'kill', aim)
        await trio.sleep(const.CALM_S / 3)
        demo.entries[name].scope.cancel()


async def _file(demo: models.Demo, ticket: zinnialead_config.Ticket) -> None:
    started_s = trio.current_time()
    outcome = await declarations.file_ticket(demo.store_address, ticket)
    number = ticket.document['number']
    for _ in range(const.POLLS_MAX):
        if all(_numbers(demo, number)):
            break
        await trio.sleep(const.POLL_S)
    elapsed_ms = (trio.current_time() - started_s) * const.MS_PER_S
    everywhere = all(_numbers(demo, number))
    in_time = elapsed_ms <= const.IN_FORCE_BOUND_MS
    filed = isinstance(outcome, filing.Filed)
    demo.checks.append(
        models.Check(
            f'ticket {number} in force everywhere within 7 s',
            filed and everywhere and in_time,
            f'{outcome}, {elapsed_ms:.0f} ms',
        )
    )


def _numbers(demo: models.Demo, number: int) -> abc.Iterator[bool]:
    for entry in demo.entries.values():
        state = entry.application.engine.world.states['in-force']
        yield state.number >= number


def _drained(ticket: zinnialead_config.Ticket) -> abc.Iterator[str]:
    for drain in ticket.document.get('drains', {}).values():
        match drain:
            case {'kind': 'upstream', 'upstream': str(name)}:
                yield name


PARTS = (_file_first, _calm, _book_twice, _flood, _drain, _stop, _kill)
