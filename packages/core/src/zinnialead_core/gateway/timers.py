"""Define the gateway's timers."""

import dataclasses

from zinnialead_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDue:
    """Fire when a request's time is over."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class WaitDue:
    """Fire when a request has waited for room as long as it may."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class LapseDue:
    """Fire when an upstream that is missing is to be taken for gone."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class BalanceRound:
    """Fire when the share of work that goes abroad is looked at."""


@dataclasses.dataclass(frozen=True, slots=True)
class BeatRound:
    """Fire when the next heartbeat is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCallDue:
    """Fire when a kind of objects may be read or watched again."""

    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class StartAskDue:
    """Fire when an entry that starts may ask others in the store's place."""


Timer = (
    RequestDue
    | WaitDue
    | LapseDue
    | BalanceRound
    | BeatRound
    | StoreCallDue
    | StartAskDue
)
