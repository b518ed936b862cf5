"""Define what measures the messages and ticks of a fleet."""

import collections
from collections import abc
import dataclasses

from zinnialead_core import ids


@dataclasses.dataclass(slots=True)
class Meter:
    """Measure the messages between entries and the time of ticks.

    ``frame_bytes`` encodes a message for real; ``clock_s`` reads the
    processor time. Bytes received are kept by entry and second.
    """

    frame_bytes: abc.Callable[[ids.EntryRef, ids.EntryId, object], int]
    clock_s: abc.Callable[[], float]
    messages: collections.Counter[str]
    bytes: collections.Counter[str]
    tick_s: dict[str, float]
    received_bytes: collections.Counter[tuple[ids.EntryId, int]]
    sent_bytes: collections.Counter[ids.EntryId]
    entry_s: dict[ids.EntryId, float]
