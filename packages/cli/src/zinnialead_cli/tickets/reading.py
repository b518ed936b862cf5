"""Read tickets from files and the state in force from the store."""

from collections import abc
import pathlib

from zinnialead_cli import clients
from zinnialead_cli import const
from zinnialead_cli import output
import zinnialead_config as config
from zinnialead_core.components import store
from zinnialead_core.components import tickets


def ticket(path: pathlib.Path) -> config.Ticket:
    """Return the ticket of a file, or end the command."""
    found = config.load_ticket(path)
    if found.is_error():
        refuse(found.error)
    return found.ok


def state(address: str) -> tickets.State:
    """Return the state in force in the store, or end the command."""
    found = clients.call_store(address, store.Read(const.STATE_OBJECT))
    match found:
        case store.Found(_, value, _):
            decoded = config.decode_state(value)
        case store.Missing():
            return tickets.empty_state()
        case _:
            output.fail(f'store: {found}', const.ExitCode.UNREACHABLE)
    if decoded.is_error():
        refuse(decoded.error)
    return decoded.ok


def folded(
    before: tickets.State, paths: abc.Iterable[pathlib.Path]
) -> tickets.State:
    """Return the state after the tickets of files, or end the command."""
    after = before
    for path in paths:
        found = config.fold(after, ticket(path))
        if found.is_error():
            refuse(found.error)
        after = found.ok
    return after


def refuse(found: config.Problems) -> None:
    """End the command with what is wrong, a line for each field."""
    lines = '\n'.join(map(str, found))
    output.fail(f'refused:\n{lines}', const.ExitCode.REFUSED)
