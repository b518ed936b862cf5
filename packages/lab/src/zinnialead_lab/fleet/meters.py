"""Define the meter of a fleet: messages, bytes and tick times."""

import collections
from collections import abc
import dataclasses

from zinnialead_core import ids


@dataclasses.dataclass(slots=True)
class Meter:
    """Count the messages between entries and time their ticks.

    ``frame_bytes`` encodes a message with the peers' codec and returns
    its size; ``clock_s`` reads the processor time. ``messages`` and
    ``bytes`` are by message type, ``tick_s`` by type of the first input,
    ``received_bytes`` by entry and second.
    """

    frame_bytes: abc.Callable[[ids.EntryRef, ids.EntryId, object], int]
    clock_s: abc.Callable[[], float]
    messages: collections.Counter[str]
    bytes: collections.Counter[str]
    tick_s: dict[str, float]
    received_bytes: collections.Counter[tuple[ids.EntryId, int]]
    sent_bytes: collections.Counter[ids.EntryId]
    entry_s: dict[ids.EntryId, float]
