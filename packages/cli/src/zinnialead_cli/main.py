"""Assemble the operators' commands into one program."""

import importlib.metadata
import typing

import typer

from zinnialead_cli.fleet import commands as fleet
from zinnialead_cli.tickets import commands as tickets

app = typer.Typer(
    name='zinnialead',
    help='Configure zinnialead by tickets, and show what is in force.',
    no_args_is_help=True,
)
app.command('check')(tickets.check)
app.command('plan')(tickets.plan)
app.command('file')(tickets.file_ticket)
app.command('state')(tickets.state)
app.command('diff')(tickets.diff)
app.command('fleet')(fleet.fleet)
app.command('in-force')(fleet.in_force)
app.command('dump')(fleet.dump)
app.command('stop')(fleet.stop)


def _print_version(is_requested: bool) -> None:
    if is_requested:
        typer.echo(importlib.metadata.version('zinnialead-cli'))
        raise typer.Exit


@app.callback()
def main(
    version: typing.Annotated[
        bool,
        typer.Option(
            '--version', callback=_print_version, help='Print the version.'
        ),
    ] = False,
) -> None:
    """Configure zinnialead by tickets, and show what is in force."""
