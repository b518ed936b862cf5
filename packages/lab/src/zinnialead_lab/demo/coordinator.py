"""Run the parts of the demonstration one after the other."""

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
        demo.checks.extend(checks.check_all(demo))
        console.print(report.service_by_rank(demo))
        console.print(report.checks(demo))
        nursery.cancel_scope.cancel()
    holds = all(check.holds for check in demo.checks)
    return 0 if holds else const.EXIT_CHECK_FAILED


async def _file_first_ticket(demo: models.Demo) -> None:
    addresses = {
        str(name): row.address for name, row in demo.state.upstreams.items()
    }
    ticket = declarations.read_ticket(
        demo.options, const.FIRST_TICKET, addresses
    )
    await _file_ticket(demo, ticket)


async def _send_steadily(demo: models.Demo) -> None:
    demo.console.print('work of every rank')
    await work.send_steadily(demo, 'calm', work.whole_deployment(demo))


async def _book_repeatedly(demo: models.Demo) -> None:
    demo.console.print('one booking, three times with one key')
    outcomes = await work.book_repeatedly(demo)
    ran = [outcome for outcome in outcomes if isinstance(outcome, callers.Ran)]
    bodies = {outcome.body for outcome in ran}
    name = next(iter(bodies), b'').split(b' ')[0].decode()
    runs = len(demo.ledger.runs.get(name, ()))
    observed = f'{len(ran)} told that it ran, {runs} runs'
    ran_once = bool(ran) and len(bodies) == 1 and runs == 1
    demo.checks.append(models.Check('one key, one run', ran_once, observed))


async def _send_flood(demo: models.Demo) -> None:
    demo.console.print('a flood of night work in one domain')
    await work.send_flood(demo, 'flood')


async def _drain_upstream(demo: models.Demo) -> None:
    ticket = declarations.read_ticket(demo.options, const.DRAIN_TICKET, {})
    [name] = _drained_upstreams(ticket)
    demo.console.print(f'drain of {name} while work goes on')
    async with trio.open_nursery() as nursery:
        target = work.upstream_target(demo, name)
        nursery.start_soon(work.send_steadily, demo, 'drain', target)
        await trio.sleep(const.CALM_DURATION_S / 3)
        runs_before = demo.upstreams[name].started
        filed_ms = trio.current_time() * const.MS_PER_S
        await _file_ticket(demo, ticket)
    last_start_ms = demo.upstreams[name].last_start_ms - filed_ms
    demo.checks.append(
        models.Check(
            'no new work 3 s after a drain',
            last_start_ms <= const.DRAIN_MAX_MS,
            f'{runs_before} runs before, the last new one'
            f' {last_start_ms:+.0f} ms from filing',
        )
    )


async def _stop_entry(demo: models.Demo) -> None:
    name = list(demo.entries)[-1]
    demo.console.print(f'graceful stop of entry {name} while work goes on')
    application = demo.entries[name].application
    async with trio.open_nursery() as nursery:
        target = work.whole_deployment(demo)
        nursery.start_soon(work.send_steadily, demo, 'stop', target)
        await trio.sleep(const.CALM_DURATION_S / 3)
        engines.feed(application.engine, inp.StopRequested())
    cut_off = [
        row
        for row in demo.sent_work
        if row.part in {'drain', 'stop'}
        and isinstance(row.outcome, callers.MayHaveRun)
    ]
    demo.checks.append(
        models.Check(
            'nothing cut by the drain and the stop',
            application.stopped.is_set() and not cut_off,
            f'{len(cut_off)} cut,'
            f' entry stopped: {application.stopped.is_set()}',
        )
    )


async def _kill_entry(demo: models.Demo) -> None:
    name = next(iter(demo.entries))
    demo.console.print(f'kill of entry {name} while work goes on')
    async with trio.open_nursery() as nursery:
        target = work.whole_deployment(demo)
        nursery.start_soon(work.send_steadily, demo, 'kill', target)
        await trio.sleep(const.CALM_DURATION_S / 3)
        demo.entries[name].cancel_scope.cancel()


async def _file_ticket(
    demo: models.Demo, ticket: zinnialead_config.Ticket
) -> None:
    started_s = trio.current_time()
    outcome = await declarations.file_ticket(demo.store_address, ticket)
    number = ticket.document['number']
    for _ in range(const.POLLS_MAX):
        if all(_adoptions(demo, number)):
            break
        await trio.sleep(const.POLL_PERIOD_S)
    elapsed_ms = (trio.current_time() - started_s) * const.MS_PER_S
    is_everywhere = all(_adoptions(demo, number))
    is_in_time = elapsed_ms <= const.TICKET_SPREAD_MAX_MS
    is_filed = isinstance(outcome, filing.Filed)
    demo.checks.append(
        models.Check(
            f'ticket {number} in force everywhere within 7 s',
            is_filed and is_everywhere and is_in_time,
            f'{outcome}, {elapsed_ms:.0f} ms',
        )
    )


def _adoptions(demo: models.Demo, number: int) -> abc.Iterator[bool]:
    for entry in demo.entries.values():
        state = entry.application.engine.world.states['in-force']
        yield state.number >= number


def _drained_upstreams(ticket: zinnialead_config.Ticket) -> abc.Iterator[str]:
    for drain in ticket.document.get('drains', {}).values():
        match drain:
            case {'kind': 'upstream', 'upstream': str(name)}:
                yield name


PARTS = (
    _file_first_ticket,
    _send_steadily,
    _book_repeatedly,
    _send_flood,
    _drain_upstream,
    _stop_entry,
    _kill_entry,
)
