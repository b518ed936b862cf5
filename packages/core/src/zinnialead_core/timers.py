"""Define the timers of the core that is driven by tickets."""

import dataclasses

from zinnialead_core import ids
from zinnialead_core.timer_table import new_table
from zinnialead_core.timer_table import next_due_ms
from zinnialead_core.timer_table import pop_due
from zinnialead_core.timer_table import start
from zinnialead_core.timer_table import stop
from zinnialead_core.timer_table import TimerTable


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDeadline:
    """Fire at a request's deadline."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDue:
    """Fire when a refused attempt may be tried again."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class StopDue:
    """Fire when a stopping entry waits for nothing any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTimeout:
    """Fire when a registrar has not answered a claim in time."""

    request_id: ids.RequestId
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeysExpiry:
    """Fire when expired records of keys may be deleted."""


@dataclasses.dataclass(frozen=True, slots=True)
class BindDue:
    """Fire when a shard of the key bindings may be read or written."""

    shard: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskTimeout:
    """Fire when a slot owner has not answered in time."""

    ask_id: ids.AskId


@dataclasses.dataclass(frozen=True, slots=True)
class QueueExpiry:
    """Fire at the deadline of a queued request for a slot."""

    ask_id: ids.AskId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotsDue:
    """Fire when a slot owner must check its queues again."""

    service: ids.ServiceId


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRound:
    """Fire when the next peer is to be probed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeTimeout:
    """Fire when a probed peer has not answered in time."""

    entry: ids.EntryId
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionTimeout:
    """Fire when a suspected entry is to be declared dead."""

    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class GossipDue:
    """Fire when urgent news of members is to be pushed to peers."""


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadRound:
    """Fire when a peer has not answered a request for a newer state."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldStateDue:
    """Fire when a state that was held back is put in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDue:
    """Fire when the store may be called again."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRound:
    """Fire when the next load reports are due."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamDue:
    """Fire when the pause that an upstream asked for is over."""

    upstream: ids.UpstreamId


Timer = (
    RequestDeadline
    | RetryDue
    | StopDue
    | ClaimTimeout
    | KeysExpiry
    | BindDue
    | AskTimeout
    | QueueExpiry
    | SlotsDue
    | ProbeRound
    | ProbeTimeout
    | SuspicionTimeout
    | GossipDue
    | SpreadRound
    | HeldStateDue
    | StoreDue
    | LoadRound
    | UpstreamDue
)

__all__ = [
    'AskTimeout',
    'BindDue',
    'ClaimTimeout',
    'GossipDue',
    'HeldStateDue',
    'KeysExpiry',
    'LoadRound',
    'ProbeRound',
    'ProbeTimeout',
    'QueueExpiry',
    'RequestDeadline',
    'RetryDue',
    'SlotsDue',
    'SpreadRound',
    'StopDue',
    'StoreDue',
    'SuspicionTimeout',
    'Timer',
    'TimerTable',
    'UpstreamDue',
    'new_table',
    'next_due_ms',
    'pop_due',
    'start',
    'stop',
]
