"""Define the rows of the store tables."""

import enum
import typing

from zinnialead_core import buckets
from zinnialead_core.components.store import calls


class OpenCallRow(typing.NamedTuple):
    """Hold one call that has no result yet."""

    call: calls.Call
    deadline_ms: float


class Budget(enum.Enum):
    """Define the two rates that the store limits."""

    READS = 'reads'
    WRITES = 'writes'


class Task(enum.Enum):
    """Define the repeated calls that this entry makes for itself."""

    STATE = 'state'
    LIST = 'list'


class TaskRow(typing.NamedTuple):
    """Hold when a task may call the store next, and its open call if any.

    ``after`` is where the next page of a list begins, empty at its start.
    ``lost_history`` is set if the store no longer has the history from
    which the object was watched.
    """

    due_ms: float
    call_id: int | None
    failures: int
    after: str = ''
    lost_history: bool = False


class StoreTable(typing.NamedTuple):
    """Hold the open calls, the budgets and this entry's tasks.

    ``sequence`` holds the number of the last call, ``failures`` how many
    calls failed in a row, ``version`` the state object's version once it
    was read, ``position`` the revision from which it is watched then,
    ``era`` the store's era, 0 while it is unknown.  ``unreadable`` holds the
    versions of the unreadable VMs.
    """

    open_calls: dict[int, OpenCallRow]
    sequence: list[int]
    failures: list[int]
    budgets: dict[Budget, buckets.BucketRow]
    tasks: dict[Task, TaskRow]
    version: list[int]
    position: list[int]
    era: list[int]
    unreadable: dict[str, int]


def new_table() -> StoreTable:
    """Return a table without calls."""
    return StoreTable({}, [0], [0], {}, {}, [], [], [0], {})
