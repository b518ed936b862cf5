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


def deployment_folder(options: models.Options) -> pathlib.Path:
    """Return the folder of the deployment's declarations."""
    path = options.examples / options.deployment
    if not path.is_dir():
        raise typer.BadParameter(f'{path} holds no deployment')
    return path


def read_settings(options: models.Options) -> zinnialead_config.Settings:
    """Return the settings that the deployment's entries share."""
    path = deployment_folder(options) / const.SETTINGS_FILE
    return _unwrap(zinnialead_config.load_settings(path, {}))


def read_ticket(
    options: models.Options, name: str, addresses: abc.Mapping[str, str]
) -> zinnialead_config.Ticket:
    """Return a ticket with the upstreams' addresses in this process."""
    path = deployment_folder(options) / name
    loaded = _unwrap(zinnialead_config.load_ticket(path))
    document = copy.deepcopy(loaded.document)
    for place in document.get('places', {}).values():
        if place is None:
            continue
        for upstream, row in place['upstreams'].items():
            row['address'] = addresses.get(upstream, row['address'])
    digest = ticket_files.digest_of(document)
    return zinnialead_config.Ticket(str(path), document, digest)


async def file_ticket(
    address: str, ticket: zinnialead_config.Ticket
) -> filing.Outcome:
    """File a ticket as the operators' command line does."""
    return await trio.to_thread.run_sync(_file_ticket, address, ticket)


def _file_ticket(
    address: str, ticket: zinnialead_config.Ticket
) -> filing.Outcome:
    calls = filing.file_ticket(ticket, time.time() * const.MS_PER_S)
    call = next(calls)
    try:
        while True:
            call = calls.send(clients.call_store(address, call))
    except StopIteration as stop:
        return typing.cast('filing.Outcome', stop.value)


def _unwrap(result: Loaded[T]) -> T:
    match result:
        case expression.Result(tag='ok', ok=value):
            return value
        case expression.Result(error=problems):
            raise typer.BadParameter('; '.join(map(str, problems)))
