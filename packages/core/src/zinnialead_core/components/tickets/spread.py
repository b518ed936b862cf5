"""Define the rows of the table for spreading states to peers."""

import typing

from zinnialead_core import buckets
from zinnialead_core.components.tickets import messages
from zinnialead_core.components.tickets import models
from zinnialead_core import ids


class TargetRow(typing.NamedTuple):
    """Hold the number of the state to get, and an entry that has it."""

    number: int
    holder: ids.EntryId


class TransferRow(typing.NamedTuple):
    """Hold the parts of one state that were received so far."""

    number: int
    digest: str
    parts: int
    received: dict[int, models.State]


class SpreadTable(typing.NamedTuple):
    """Hold the state being requested, and the deltas to serve to peers.

    ``target``, ``transfer``, ``budget`` and ``held`` hold one row at most;
    the budget limits the rows served to peers, and ``held`` is a state from
    the store that waits for the peers' numbers.
    """

    target: list[TargetRow]
    transfer: list[TransferRow]
    budget: list[buckets.BucketRow]
    deltas: list[messages.StateDelta]
    held: list[models.State]


def new_spread() -> SpreadTable:
    """Return an empty table."""
    return SpreadTable([], [], [], [], [])
