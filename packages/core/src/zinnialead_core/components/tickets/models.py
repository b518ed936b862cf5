"""Define the state that tickets put in force."""

import dataclasses
import typing

from zinnialead_core import ids


class ServiceRow(typing.NamedTuple):
    """Describe one service that callers may ask for."""

    service: ids.ServiceId
    idempotent: bool
    default_rank: ids.RankId
    deadline_max_ms: float
    service_time_ms: float
    body_max_bytes: int
    queue_max: int


class UpstreamRow(typing.NamedTuple):
    """Describe one upstream: where it is and how many slots it has."""

    upstream: ids.UpstreamId
    service: ids.ServiceId
    domain: ids.DomainId
    address: str
    slots: int
    connections_max: int


class DomainRow(typing.NamedTuple):
    """Describe one failure domain and its region."""

    domain: ids.DomainId
    region: ids.RegionId
    entries_max: int


class RankRow(typing.NamedTuple):
    """Describe one rank of requests; a lower ``order`` is more urgent.

    ``floor_share`` is the least share of slot time that the rank gets
    while its requests wait.
    """

    rank: ids.RankId
    order: int
    worth: float
    floor_share: float
    target_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamDrain:
    """Take one upstream out of service."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class DomainDrain:
    """Take one failure domain out of service."""

    domain: ids.DomainId


@dataclasses.dataclass(frozen=True, slots=True)
class RegionDrain:
    """Take one region out of service."""

    region: ids.RegionId


Drain = UpstreamDrain | DomainDrain | RegionDrain


@dataclasses.dataclass(frozen=True, slots=True)
class ShiftCap:
    """Limit the requests shifted from one region to another."""

    from_region: ids.RegionId
    to_region: ids.RegionId
    requests_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RegionLimit:
    """Limit the requests in flight in one region for one service."""

    region: ids.RegionId
    service: ids.ServiceId
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class LinkBudget:
    """Limit the bytes that shifts may put on one link."""

    from_region: ids.RegionId
    to_region: ids.RegionId
    bytes_per_s: float


Cap = ShiftCap | RegionLimit | LinkBudget


class BlockRow(typing.NamedTuple):
    """Assign the nearest failure domain to one block of client addresses."""

    prefix: str
    domain: ids.DomainId


class TicketNote(typing.NamedTuple):
    """Record who filed a ticket; its digest tells apart racing tickets."""

    number: int
    digest: str
    operator: str
    filed_ms: float


class State(typing.NamedTuple):
    """Hold everything that is in force after the ticket ``number``."""

    number: int
    services: dict[ids.ServiceId, ServiceRow]
    upstreams: dict[ids.UpstreamId, UpstreamRow]
    domains: dict[ids.DomainId, DomainRow]
    ranks: dict[ids.RankId, RankRow]
    drains: dict[str, Drain]
    caps: dict[str, Cap]
    blocks: dict[str, BlockRow]
    history: tuple[TicketNote, ...]


def empty_state() -> State:
    """Return the state before the first ticket."""
    return State(0, {}, {}, {}, {}, {}, {}, {}, ())
