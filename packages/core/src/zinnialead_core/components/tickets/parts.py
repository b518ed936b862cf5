"""Cut states into parts and deltas, and put them together again."""

from collections import abc
import typing

from zinnialead_core.components.tickets import const
from zinnialead_core.components.tickets import messages
from zinnialead_core.components.tickets import models

TABLES = (
    'services',
    'upstreams',
    'domains',
    'ranks',
    'drains',
    'caps',
    'blocks',
)
Table = dict[typing.Any, typing.Any]


class Cell(typing.NamedTuple):
    """Name one row of a state."""

    table: str
    key: str


def digest(state: models.State) -> str:
    """Return the digest of the ticket that made a state."""
    return state.history[-1].digest if state.history else ''


def size(state: models.State) -> int:
    """Return how many rows a state holds."""
    return sum(len(getattr(state, table)) for table in TABLES)


def count(state: models.State) -> int:
    """Return into how many parts a state is cut."""
    return max(1, -(-size(state) // const.PART_ROWS))


def part(state: models.State, number: int) -> models.State:
    """Return one part of the rows; the first holds the whole history."""
    start = number * const.PART_ROWS
    cells = sorted(_cells(state))[start : start + const.PART_ROWS]
    history = state.history if number == 0 else state.history[-1:]
    return _only(state, cells)._replace(history=history)


def joined(found: abc.Mapping[int, models.State]) -> models.State:
    """Return the state that all its parts make."""
    whole = found[0]
    for number in sorted(found):
        whole = _merged(whole, found[number])
    return whole


def delta(before: models.State, after: models.State) -> messages.StateDelta:
    """Return what changed from one state to a later one."""
    changed = [
        cell
        for cell in _cells(after)
        if _row(before, cell) != _row(after, cell)
    ]
    gone = sorted(set(_cells(before)) - set(_cells(after)))
    rows = _only(after, changed)._replace(history=after.history)
    removed = tuple((cell.table, cell.key) for cell in gone)
    return messages.StateDelta(before.number, digest(before), rows, removed)


def applied(state: models.State, change: messages.StateDelta) -> models.State:
    """Return the state that a delta makes of its base."""
    merged = _merged(state, change.changed)
    tables: dict[str, Table] = {
        table: dict(getattr(merged, table)) for table in TABLES
    }
    for table, key in change.removed:
        tables.get(table, {}).pop(key, None)
    return merged._replace(
        number=change.changed.number,
        history=change.changed.history,
        **typing.cast('typing.Any', tables),
    )


def _cells(state: models.State) -> abc.Iterator[Cell]:
    for table in TABLES:
        for key in getattr(state, table):
            yield Cell(table, key)


Row = typing.Any


def _row(state: models.State, cell: Cell) -> Row:
    return getattr(state, cell.table).get(cell.key)


def _only(state: models.State, cells: abc.Iterable[Cell]) -> models.State:
    tables: dict[str, Table] = {table: {} for table in TABLES}
    for cell in cells:
        tables[cell.table][cell.key] = _row(state, cell)
    return state._replace(**typing.cast('typing.Any', tables))


def _merged(state: models.State, more: models.State) -> models.State:
    tables: dict[str, Table] = {
        table: getattr(state, table) | getattr(more, table) for table in TABLES
    }
    return state._replace(**typing.cast('typing.Any', tables))
