"""Define the rows of the table by which states spread."""

import typing

from zinnialead_core import buckets
from zinnialead_core.components.tickets import messages
from zinnialead_core.components.tickets import models
from zinnialead_core import ids


class WantRow(typing.NamedTuple):
    """Hold the newest number heard of, and who has it."""

    number: int
    holder: ids.EntryId


class TransferRow(typing.NamedTuple):
    """Hold the parts received so far of one state."""

    number: int
    digest: str
    parts: int
    received: dict[int, models.State]


class SpreadTable(typing.NamedTuple):
    """Hold what is wanted and received, and deltas for those behind.

    ``want``, ``transfer`` and ``budget`` hold one row at most.
    """

    want: list[WantRow]
    transfer: list[TransferRow]
    budget: list[buckets.BucketRow]
    deltas: list[messages.StateDelta]


def new_spread() -> SpreadTable:
    """Return a table that wants nothing."""
    return SpreadTable([], [], [], [])
