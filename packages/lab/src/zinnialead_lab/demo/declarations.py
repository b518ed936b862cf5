"""Read a deployment's settings and tickets, and file the tickets."""

from collections import abc
import copy
import pathlib
import time
import typing

import expression
import trio
import typer

from zinnialead_cli import clients
import zinnialead_config
from zinnialead_config import filing
from zinnialead_config.tickets import coordinator as ticket_files
from zinnialead_lab.demo import const
from zinnialead_lab.demo import models

T = typing.TypeVar('T')
Loaded = expression.Result[T, zinnialead_config.Problems]


def folder(options: models.Options) -> pathlib.Path:
    """Return the folder of the deployment's declarations."""
    found = options.examples / options.deployment
    if not found.is_dir():
        raise typer.BadParameter(f'{found} holds no deployment')
    return found


def settings(options: models.Options) -> zinnialead_config.Settings:
    """Return the settings that the deployment's entries share."""
    path = folder(options) / const.SETTINGS_FILE
    return _loaded(zinnialead_config.load_settings(path, {}))


def ticket(
    options: models.Options, name: str, addresses: abc.Mapping[str, str]
) -> zinnialead_config.Ticket:
    """Return a ticket with the upstreams at their addresses here."""
    path = folder(options) / name
    read = _loaded(zinnialead_config.load_ticket(path))
    document = copy.deepcopy(read.document)
    for place in document.get('places', {}).values():
        if place is None:
            continue
        for upstream, row in place['upstreams'].items():
            row['address'] = addresses.get(upstream, row['address'])
    digest = ticket_files.digest_of(document)
    return zinnialead_config.Ticket(str(path), document, digest)


async def file_ticket(
    address: str, wanted: zinnialead_config.Ticket
) -> filing.Outcome:
    """File a ticket the way the operators' command line does."""
    return await trio.to_thread.run_sync(_file, address, wanted)


def _file(address: str, wanted: zinnialead_config.Ticket) -> filing.Outcome:
    steps = filing.file_ticket(wanted, time.time() * const.MS_PER_S)
    call = next(steps)
    try:
        while True:
            call = steps.send(clients.call_store(address, call))
    except StopIteration as stop:
        return typing.cast('filing.Outcome', stop.value)


def _loaded(result: Loaded[T]) -> T:
    match result:
        case expression.Result(tag='ok', ok=value):
            return value
        case expression.Result(error=problems):
            raise typer.BadParameter('; '.join(map(str, problems)))
