"""Define the gateway's timers."""

import dataclasses

from zinnialead_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDeadline:
    """Fire when a request's deadline passes."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class QueueTimeout:
    """Fire when a request has been queued for the maximum time."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class StopDeadline:
    """Fire when a stopping entry is to answer what it still holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamExpiry:
    """Fire when an upstream without a registration is to be removed."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class PauseEnd:
    """Fire when the pause that an upstream asked for is over."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class DoubtEnd:
    """Fire when a registration that a restored store shows is believed."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class DrainExpiry:
    """Fire when a drain that a restored store lacks is to be removed."""

    domain: ids.DomainId


@dataclasses.dataclass(frozen=True, slots=True)
class HealthCheckDue:
    """Fire when an upstream's health is to be checked once more."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class BalanceRound:
    """Fire when the shares sent to other regions are to be adjusted."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatRound:
    """Fire when the next heartbeat is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCallDue:
    """Fire when the next call to the store of this kind is due."""

    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class BehindDue:
    """Fire when an entry is to check whether it still lacks a change."""

    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class SeedQueryDue:
    """Fire when a starting entry is to query the seeds for snapshots."""


Timer = (
    RequestDeadline
    | QueueTimeout
    | StopDeadline
    | UpstreamExpiry
    | PauseEnd
    | DoubtEnd
    | DrainExpiry
    | HealthCheckDue
    | BalanceRound
    | HeartbeatRound
    | StoreCallDue
    | BehindDue
    | SeedQueryDue
)
