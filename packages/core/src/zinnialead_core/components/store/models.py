"""Define the rows of the store tables."""

import enum
import typing

from zinnialead_core import buckets
from zinnialead_core.components.store import calls


class OpenRow(typing.NamedTuple):
    """Hold one open call."""

    call: calls.Call
    deadline_ms: float


class Budget(enum.Enum):
    """Name the two rates that the store bounds."""

    READS = 'reads'
    WRITES = 'writes'


class Task(enum.Enum):
    """Name what this entry itself wants of the store."""

    STATE = 'state'
    LIST = 'list'


class TaskRow(typing.NamedTuple):
    """Hold when a task may call the store next, and its open call.

    ``after`` is where a list goes on that is read in pages.
    """

    due_ms: float
    call_id: int | None
    failures: int
    after: str = ''


class StoreTable(typing.NamedTuple):
    """Hold the open calls, the budgets and this entry's tasks.

    ``sequence`` holds the last call's number, ``failures`` how many calls
    failed in a row, ``version`` the state object's version if known.
    """

    open_calls: dict[int, OpenRow]
    sequence: list[int]
    failures: list[int]
    budgets: dict[Budget, buckets.BucketRow]
    tasks: dict[Task, TaskRow]
    version: list[int]


def new_table() -> StoreTable:
    """Return a table without calls."""
    return StoreTable({}, [0], [0], {}, {}, [])
