"""Define the rows of the store tables."""

import typing

from zinnialead_core.components.store import calls


class StoreTable(typing.NamedTuple):
    """Hold the open calls, and how many calls failed in a row."""

    open: dict[int, calls.Call]
    sequence: list[int]
    failures: list[int]


def new_table() -> StoreTable:
    """Return a table without calls."""
    return StoreTable({}, [0], [0])
