"""Split states into parts and deltas, and combine them again."""

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


class RowKey(typing.NamedTuple):
    """Identify one row of a state."""

    table: str
    key: str


def digest(state: models.State) -> str:
    """Return the digest of the ticket that made a state."""
    return state.history[-1].digest if state.history else ''


def is_followed_by(state: models.State, later: models.State) -> bool:
    """Return whether a later state was made by tickets after a state.

    Unknown if the later one no longer has a note of the state's ticket.
    """
    return state.number < later.number and any(
        (note.number, note.digest) == (state.number, digest(state))
        for note in later.history
    )


def row_count(state: models.State) -> int:
    """Return how many rows a state holds."""
    return sum(len(getattr(state, table)) for table in TABLES)


def part_count(state: models.State) -> int:
    """Return into how many parts a state is split."""
    return max(1, -(-row_count(state) // const.PART_ROWS))


def part(state: models.State, number: int) -> models.State:
    """Return one part of the rows; the first holds the whole history."""
    start = number * const.PART_ROWS
    row_keys = sorted(_row_keys(state))[start : start + const.PART_ROWS]
    history = state.history if number == 0 else state.history[-1:]
    return _select_rows(state, row_keys)._replace(history=history)


def join(received: abc.Mapping[int, models.State]) -> models.State:
    """Return the state that consists of all the received parts."""
    state = received[0]
    for number in sorted(received):
        state = _merge(state, received[number])
    return state


def make_delta(
    before: models.State, after: models.State
) -> messages.StateDelta:
    """Return the difference between a state and a later one."""
    changed = [
        row_key
        for row_key in _row_keys(after)
        if _row(before, row_key) != _row(after, row_key)
    ]
    removed_keys = sorted(set(_row_keys(before)) - set(_row_keys(after)))
    rows = _select_rows(after, changed)._replace(history=after.history)
    removed = tuple((row_key.table, row_key.key) for row_key in removed_keys)
    return messages.StateDelta(before.number, digest(before), rows, removed)


def apply_delta(
    state: models.State, delta: messages.StateDelta
) -> models.State:
    """Return a state after a delta was applied to it."""
    merged = _merge(state, delta.changed)
    tables: dict[str, Table] = {
        table: dict(getattr(merged, table)) for table in TABLES
    }
    for table, key in delta.removed:
        tables.get(table, {}).pop(key, None)
    return merged._replace(
        number=delta.changed.number,
        history=delta.changed.history,
        **typing.cast('typing.Any', tables),
    )


def _row_keys(state: models.State) -> abc.Iterator[RowKey]:
    for table in TABLES:
        for key in getattr(state, table):
            yield RowKey(table, key)


Row = typing.Any


def _row(state: models.State, row_key: RowKey) -> Row:
    return getattr(state, row_key.table).get(row_key.key)


def _select_rows(
    state: models.State, row_keys: abc.Iterable[RowKey]
) -> models.State:
    tables: dict[str, Table] = {table: {} for table in TABLES}
    for row_key in row_keys:
        tables[row_key.table][row_key.key] = _row(state, row_key)
    return state._replace(**typing.cast('typing.Any', tables))


def _merge(state: models.State, newer: models.State) -> models.State:
    tables: dict[str, Table] = {
        table: getattr(state, table) | getattr(newer, table)
        for table in TABLES
    }
    return state._replace(**typing.cast('typing.Any', tables))
