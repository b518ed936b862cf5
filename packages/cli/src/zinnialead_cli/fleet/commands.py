"""Define the commands that query and stop entries."""

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
        help='The credential; preferably set in the environment.',
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
        bool, typer.Option(help='Refresh every two seconds.')
    ] = False,
) -> None:
    """Show entries, upstreams, queues, drains, shifts and refusals.

    Example: zinnialead fleet --entry 10.0.0.1:8081 --watch
    """
    while True:
        _show_fleet(_fetch_views(entry, token), as_json)
        if not watch:
            return
        time.sleep(const.WATCH_PERIOD_MS / const.MS_PER_S)


def dump(entry: Entries, token: Token) -> None:
    """Print the state dump of entries as JSON.

    Example: zinnialead dump --entry 10.0.0.1:8081
    """
    _print_responses(entry, token, '/v1/dump')


def in_force(entry: Entries, token: Token) -> None:
    """Print what is in force on entries, in the form of a ticket.

    Works without the store.
    Example: zinnialead in-force --entry 10.0.0.1:8081
    """
    _print_responses(entry, token, '/v1/state')


def stop(entry: Entries, token: Token) -> None:
    """Stop entries gracefully, without interrupting requests in flight.

    Example: zinnialead stop --entry 10.0.0.1:8081
    """
    for address in entry:
        result = clients.post(
            clients.Entry(address, token), '/v1/stop', Document
        )
        if result.is_error():
            output.fail(result.error.reason, const.ExitCode.UNREACHABLE)
        output.print_json(result.ok)


def _print_responses(addresses: list[str], token: str, path: str) -> None:
    for address in addresses:
        entry = clients.Entry(address, token)
        result = clients.get(entry, path, Document)
        if result.is_error():
            output.fail(result.error.reason, const.ExitCode.UNREACHABLE)
        output.print_json(result.ok)


def _fetch_views(
    addresses: list[str], token: str
) -> list[documents.FleetDocument]:
    views = []
    for address in addresses:
        result = clients.get(
            clients.Entry(address, token),
            '/v1/fleet',
            documents.FleetDocument,
        )
        if result.is_error():
            output.warn(f'{address}: {result.error.reason}')
            continue
        views.append(result.ok)
    if not views:
        output.fail('no entry answered', const.ExitCode.UNREACHABLE)
    return views


def _show_fleet(views: list[documents.FleetDocument], as_json: bool) -> None:
    merged = merging.merge(views)
    if as_json:
        typer.echo(msgspec.json.encode(merged).decode())
        return
    console = rich.console.Console()
    for table in tables.lay_out(merged):
        if table.row_count:
            console.print(table)
