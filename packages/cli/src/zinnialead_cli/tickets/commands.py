"""Define the commands on tickets."""

import pathlib
import time
import typing

import typer

from zinnialead_cli import clients
from zinnialead_cli import const
from zinnialead_cli import output
from zinnialead_cli.tickets import reading
import zinnialead_config as config
from zinnialead_config import filing
from zinnialead_config.tickets import states
from zinnialead_core.components import tickets

File = typing.Annotated[
    pathlib.Path, typer.Argument(help='A ticket: JSON with comments.')
]
Store = typing.Annotated[
    str,
    typer.Option(
        '--store',
        envvar=const.STORE_VARIABLE,
        help="IP:port of the platform's store.",
    ),
]


def check(
    files: typing.Annotated[
        list[pathlib.Path],
        typer.Argument(help='Tickets in sequence, from number 1.'),
    ],
) -> None:
    """Check tickets without the store.

    Example: zinnialead check examples/umusozi/0001-deployment.json
    """
    after = reading.apply_files(tickets.empty_state(), files)
    typer.echo(f'{len(files)} tickets are valid, up to number {after.number}')


def plan(file: File, store: Store) -> None:
    """Show the changes of a ticket, and warn of their effects.

    Example: zinnialead plan drain.json --store 10.0.0.9:8090
    """
    before = reading.read_state(store)
    after = reading.apply_files(before, [file])
    _show_changes(before, after)
    for warning in filing.warnings(before, after):
        output.warn(f'{warning.path}: {warning.reason}')


def file_ticket(file: File, store: Store) -> None:
    """File a ticket, which takes effect as a whole or not at all.

    Example: zinnialead file drain.json --store 10.0.0.9:8090
    """
    outcome = _run_filing(reading.read_ticket(file), store)
    match outcome:
        case filing.Filed(number, again):
            status = 'was filed before' if again else 'is in force'
            typer.echo(f'ticket {number} {status}')
        case filing.Refused(problems):
            reading.fail_with_problems(problems)
        case filing.LostRace(winner):
            output.fail(
                f'ticket {winner.number} was filed by {winner.operator}'
                f' (digest {winner.digest}); your ticket is not in force',
                const.ExitCode.LOST_RACE,
            )
        case filing.Unknown(detail):
            output.fail(
                f'the store gave no answer ({detail}); the ticket may be'
                ' in force: file it again to find out',
                const.ExitCode.UNKNOWN,
            )


def state(store: Store) -> None:
    """Print what is in force, in the form of a ticket.

    Example: zinnialead state --store 10.0.0.9:8090
    """
    output.print_json(states.document(reading.read_state(store)))


def diff(
    directory: typing.Annotated[
        pathlib.Path,
        typer.Argument(help='Tickets in sequence, as 0001-name.json.'),
    ],
    store: Store,
) -> None:
    """Compare a directory of tickets with what is in force.

    Exits with 1 where they differ.
    Example: zinnialead diff deployment/ --store 10.0.0.9:8090
    """
    paths = sorted(directory.glob('[0-9]*.json'))
    declared = reading.apply_files(tickets.empty_state(), paths)
    in_force = reading.read_state(store)
    if in_force.number != declared.number:
        typer.echo(
            f'in force: ticket {in_force.number};'
            f' in {directory}: up to ticket {declared.number}'
        )
    if _show_changes(in_force, declared):
        raise typer.Exit(const.ExitCode.DIFFERENT)


def _run_filing(ticket: config.Ticket, address: str) -> filing.Outcome:
    steps = filing.file_ticket(ticket, time.time() * const.MS_PER_S)
    call = next(steps)
    try:
        while True:
            call = steps.send(clients.call_store(address, call))
    except StopIteration as stop:
        return typing.cast('filing.Outcome', stop.value)


def _show_changes(before: tickets.State, after: tickets.State) -> int:
    count = 0
    for change in filing.changes(before, after):
        count += 1
        if change.before is not None:
            typer.echo(f'- {change.path}: {change.before}')
        if change.after is not None:
            typer.echo(f'+ {change.path}: {change.after}')
    typer.echo(f'{count} changes')
    return count
