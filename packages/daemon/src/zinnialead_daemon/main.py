"""Define the command line of ``zinnialeadd``, the entry's daemon."""

import importlib.metadata
import os
import pathlib
import resource
import signal
import sys
import time
import typing

import expression
import trio
import typer

import zinnialead_config
from zinnialead_core import outputs as out
from zinnialead_daemon import application as applications
from zinnialead_daemon.components import logs
from zinnialead_daemon import const

app = typer.Typer(
    name='zinnialeadd',
    help='Steer requests to upstreams, on one entry VM.',
    no_args_is_help=True,
)
HANG_UP = out.LogChange(
    'daemon', 'SIGHUP', 'serving', 'serving; settings are read at the start'
)
TextFlag = typing.Annotated[str | None, typer.Option(show_default=False)]
SettingsFile = typing.Annotated[
    pathlib.Path,
    typer.Option('--settings', help='Settings in JSON with comments.'),
]
CheckFlag = typing.Annotated[
    bool, typer.Option('--check', help='Check the settings and exit.')
]


def _print_version(is_requested: bool) -> None:
    if is_requested:
        typer.echo(importlib.metadata.version('zinnialead-daemon'))
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
    """Steer requests to upstreams, on one entry VM."""


@app.command()
def run(
    settings: SettingsFile,
    check: CheckFlag = False,
    entry: TextFlag = None,
    domain: TextFlag = None,
    region: TextFlag = None,
    callers_bind: TextFlag = None,
    operators_bind: TextFlag = None,
    peers_bind: TextFlag = None,
    callers_address: TextFlag = None,
    peers_address: TextFlag = None,
) -> None:
    """Run the entry until a signal or an operator stops it.

    Flags override ZINNIALEAD_* in the environment, which overrides the
    file. Example: zinnialeadd run --settings entry.json --entry guj-a-1
    """
    flags = {
        'entry': entry,
        'domain': domain,
        'region': region,
        'callers_bind': callers_bind,
        'operators_bind': operators_bind,
        'peers_bind': peers_bind,
        'callers_address': callers_address,
        'peers_address': peers_address,
    }
    match zinnialead_config.load_settings(settings, os.environ, flags):
        case expression.Result(tag='ok', ok=loaded):
            if not check:
                raise typer.Exit(_serve(loaded))
            typer.echo(
                f'{settings}: entry {loaded.entry!r} has valid settings'
            )
        case expression.Result(error=problems):
            for problem in problems:
                typer.echo(str(problem), err=True)
            raise typer.Exit(const.EXIT_SETTINGS)


def _serve(settings: zinnialead_config.Settings) -> int:
    logs.set_up(sys.stdout)
    _set_file_limit(settings.bounds.connections_max)
    incarnation = int(time.time() * const.MS_PER_S)
    world = applications.new_world(settings, incarnation)
    application = applications.new_application(settings, world)
    return trio.run(run_until_stopped, application)


async def run_until_stopped(application: applications.Application) -> int:
    """Run an entry, handle signals and return the exit code.

    The first SIGTERM or SIGINT lets requests in flight finish, the second
    answers them at once, and the third ends the process.  SIGUSR1 logs a
    state dump.  SIGHUP, which would end the process by default, is only
    logged.
    """
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
    with trio.open_signal_receiver(*signals) as received:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_handle_signals, application, received, nursery)
            await applications.run(application)
            nursery.cancel_scope.cancel()
    if not application.stopped.is_set() or applications.has_cut(application):
        return const.EXIT_FORCED
    return 0


async def _handle_signals(
    application: applications.Application,
    received: typing.AsyncIterator[int],
    nursery: trio.Nursery,
) -> None:
    stop_signals = 0
    async for signal_number in received:
        match signal_number:
            case signal.SIGUSR1:
                logs.log_dump(applications.dump(application))
            case signal.SIGHUP:
                application.engine.handlers['log_change'](HANG_UP)
            case _:
                stop_signals += 1
                _stop(application, nursery, stop_signals)


def _stop(
    application: applications.Application,
    nursery: trio.Nursery,
    stop_signals: int,
) -> None:
    match stop_signals:
        case 1:
            applications.stop(application)
        case 2:
            applications.force_stop(application)
        case _:
            nursery.cancel_scope.cancel()


def _set_file_limit(connections_max: int) -> None:
    # The server accepts no connection while no file descriptor is free.
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    file_limit = connections_max + const.FILES_RESERVED
    if hard_limit != resource.RLIM_INFINITY:
        file_limit = min(file_limit, hard_limit)
    resource.setrlimit(resource.RLIMIT_NOFILE, (file_limit, hard_limit))


if __name__ == '__main__':
    app()
