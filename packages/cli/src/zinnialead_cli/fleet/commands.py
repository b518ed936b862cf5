"""Offer the commands that read and stop entries."""

import time
import typing

import msgspec
import rich.console
import typer

from zinnialead_cli import clients
from zinnialead_cli import const
from zinnialead_cli.fleet import documents
from zinnialead_cli.fleet import merging
from zinnialead_cli.fleet import tables
from zinnialead_cli import output

Entries = typing.Annotated[
    list[str],
    typer.Option(
        '--entry',
        envvar=const.ENTRIES_VARIABLE,
        help="IP:port of an entry's operators' port; may be repeated.",
    ),
]
Token = typing.Annotated[
    str,
    typer.Option(
        envvar=const.TOKEN_VARIABLE,
        help='The credential; better set in the environment.',
        show_default=False,
    ),
]
Json = typing.Annotated[
    bool, typer.Option('--json', help='Print JSON for programs.')
]
Document = dict[str, typing.Any]


def fleet(
    entry: Entries,
    token: Token,
    as_json: Json = False,
    watch: typing.Annotated[
        bool, typer.Option(help='Show it again every two seconds.')
    ] = False,
) -> None:
    """Show entries, upstreams, queues, drains, shifts and refusals.

    Example: zinnialead fleet --entry 10.0.0.1:8081 --watch
    """
    while True:
        _show_fleet(_seen(entry, token), as_json)
        if not watch:
            return
        time.sleep(const.WATCH_PERIOD_MS / const.MS_PER_S)


def dump(entry: Entries, token: Token) -> None:
    """Print the state dump of entries as JSON.

    Example: zinnialead dump --entry 10.0.0.1:8081
    """
    _print_answers(entry, token, '/v1/dump')


def in_force(entry: Entries, token: Token) -> None:
    """Print what is in force on entries, in the form of a ticket.

    It needs no store.
    Example: zinnialead in-force --entry 10.0.0.1:8081
    """
    _print_answers(entry, token, '/v1/state')


def stop(entry: Entries, token: Token) -> None:
    """Stop entries without cutting a request in flight.

    Example: zinnialead stop --entry 10.0.0.1:8081
    """
    for address in entry:
        found = clients.post(
            clients.Entry(address, token), '/v1/stop', Document
        )
        if found.is_error():
            output.fail(found.error.reason, const.ExitCode.UNREACHABLE)
        output.print_json(found.ok)


def _print_answers(addresses: list[str], token: str, path: str) -> None:
    for address in addresses:
        entry = clients.Entry(address, token)
        found = clients.get(entry, path, Document)
        if found.is_error():
            output.fail(found.error.reason, const.ExitCode.UNREACHABLE)
        output.print_json(found.ok)


def _seen(addresses: list[str], token: str) -> list[documents.FleetDocument]:
    seen = []
    for address in addresses:
        found = clients.get(
            clients.Entry(address, token),
            '/v1/fleet',
            documents.FleetDocument,
        )
        if found.is_error():
            output.warn(f'{address}: {found.error.reason}')
            continue
        seen.append(found.ok)
    if not seen:
        output.fail('no entry answered', const.ExitCode.UNREACHABLE)
    return seen


def _show_fleet(seen: list[documents.FleetDocument], as_json: bool) -> None:
    merged = merging.merge(seen)
    if as_json:
        typer.echo(msgspec.json.encode(merged).decode())
        return
    console = rich.console.Console()
    for table in tables.lay_out(merged):
        if table.row_count:
            console.print(table)
