"""Read tickets from files and the state in force from the store."""

from collections import abc
import pathlib

from zinnialead_cli import clients
from zinnialead_cli import const
from zinnialead_cli import output
import zinnialead_config as config
from zinnialead_core.components import store
from zinnialead_core.components import tickets


def read_ticket(path: pathlib.Path) -> config.Ticket:
    """Return the ticket in a file, or exit with its problems."""
    result = config.load_ticket(path)
    if result.is_error():
        fail_with_problems(result.error)
    return result.ok


def read_state(address: str) -> tickets.State:
    """Return the state in force in the store, or exit with an error."""
    result = clients.call_store(address, store.Read(const.STATE_OBJECT))
    match result:
        case store.Found(_, value, _):
            decoded = config.decode_state(value)
        case store.Missing():
            return tickets.empty_state()
        case _:
            output.fail(f'store: {result}', const.ExitCode.UNREACHABLE)
    if decoded.is_error():
        fail_with_problems(decoded.error)
    return decoded.ok


def apply_files(
    before: tickets.State, paths: abc.Iterable[pathlib.Path]
) -> tickets.State:
    """Return the state after the tickets in files, or exit with problems."""
    after = before
    for path in paths:
        result = config.fold(after, read_ticket(path))
        if result.is_error():
            fail_with_problems(result.error)
        after = result.ok
    return after


def fail_with_problems(problems: config.Problems) -> None:
    """Print the problems, one per line, and exit."""
    lines = '\n'.join(map(str, problems))
    output.fail(f'refused:\n{lines}', const.ExitCode.REFUSED)
