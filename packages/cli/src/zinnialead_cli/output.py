"""Print results, warnings and errors."""

import typing

import msgspec
import typer

from zinnialead_cli import const


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    encoded = msgspec.json.encode(value, order='deterministic')
    typer.echo(msgspec.json.format(encoded, indent=2).decode())


def warn(text: str) -> None:
    """Print a warning to standard error."""
    typer.echo(f'warning: {text}', err=True)


def fail(text: str, code: const.ExitCode) -> typing.NoReturn:
    """Print an error to standard error and exit with ``code``."""
    typer.echo(f'error: {text}', err=True)
    raise typer.Exit(code)
