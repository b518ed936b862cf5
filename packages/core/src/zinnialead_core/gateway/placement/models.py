"""Define the rows of the placement tables."""

from collections import abc
import dataclasses
import typing

from zinnialead_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class StrayAnswer:
    """Report an answer to a request that was answered before."""


@dataclasses.dataclass(frozen=True, slots=True)
class StrayBytes:
    """Report bytes that were sent after an answer, with no request."""


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedAnswer:
    """Report an answer that can't be read."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """Report an answer that was abandoned as too long."""

    detail: str


Fault = StrayAnswer | StrayBytes | MalformedAnswer | EndlessAnswer


# Time of a report that was never made; no clock starts as early.
NEVER_MS = -1e9


class LoadRow(typing.NamedTuple):
    """Hold what this entry estimates of one upstream's load.

    ``others`` is the count of requests from other entries in the load that
    the upstream last reported, at ``told_ms``.  ``failures`` counts the
    consecutive ones, and ``out_until_ms`` is when the upstream's ejection
    ends.  ``failing`` and ``pace`` are moving means of failures per attempt
    and of service time relative to the route's mean.  The upstream counts as
    faulty until ``faulty_until_ms``, 0 if it has broken no protocol.
    ``work_time_ratio`` is how long work took on its machine at ``told_ms``,
    1 as usual: other work there slows the upstream for a moment.
    """

    in_flight: int = 0
    others: float = 0.0
    told_ms: float = NEVER_MS
    failures: int = 0
    out_until_ms: float = 0.0
    failing: float = 0.0
    pace: float = 1.0
    faulty_until_ms: float = 0.0
    work_time_ratio: float = 1.0


class RemoteShareRow(typing.NamedTuple):
    """Hold the share of a service's objects that other regions serve.

    ``credit`` is the number of requests that may leave the region
    beyond the share; ``local_slots`` is as of the last rebalancing.
    """

    share: float = 0.0
    credit: float = 0.0
    local_slots: int = 0


class PlacementRequest(typing.NamedTuple):
    """Describe the request that an upstream is chosen for.

    ``tried_upstreams`` are those that earlier attempts went to.
    """

    service: ids.ServiceId
    object_key: str
    rank: int
    home_regions: frozenset[ids.RegionId]
    tried_upstreams: tuple[ids.UpstreamId, ...]


class UpstreamOrder(typing.NamedTuple):
    """Hold an object's upstreams, the preferred first.

    ``local`` are those of the entry's region; ``remote`` holds one group
    for each other region, the preferred region first.
    """

    local: tuple[ids.UpstreamId, ...]
    remote: tuple[tuple[ids.UpstreamId, ...], ...]


class RegionRow(typing.NamedTuple):
    """Hold the usable upstreams of a service in a region, and their slots."""

    region: ids.RegionId
    upstreams: tuple[ids.UpstreamId, ...]
    slots: int


class ServiceRow(typing.NamedTuple):
    """Hold what is derived from the usable upstreams of a service.

    ``generation`` is theirs at that time, and ``domains`` maps each failure
    domain to its region.  ``groups`` holds a region's upstreams by region and
    object, the preferred first.
    """

    generation: int
    domains: dict[ids.DomainId, ids.RegionId]
    regions: dict[ids.RegionId, RegionRow]
    groups: dict[tuple[ids.RegionId, str], abc.Sequence[ids.UpstreamId]]


class WorkRow(typing.NamedTuple):
    """Hold moving means of a service's times, in ms, and of their squares."""

    mean_ms: float
    mean_square: float


class PeerLoadRow(typing.NamedTuple):
    """Hold what the load of the region's other entries is estimated from.

    ``mean_in_flight`` is the mean number of this entry's requests at an
    upstream, and ``traffic_ratio`` the other entries' traffic relative to
    this one's.
    """

    mean_in_flight: float
    traffic_ratio: float


class PlacementTable(typing.NamedTuple):
    """Hold derived orders, remote shares and statistics of upstreams.

    ``mean_service_ms`` is by route name, ``work`` and ``peer_loads`` are by
    service, and ``cold_sends_ms`` are the times of the requests to each cold
    upstream in the last second.
    """

    services: dict[ids.ServiceId, ServiceRow]
    remote_shares: dict[ids.ServiceId, RemoteShareRow]
    mean_service_ms: dict[str, float]
    work: dict[ids.ServiceId, WorkRow]
    peer_loads: dict[ids.ServiceId, PeerLoadRow]
    cold_sends_ms: dict[ids.UpstreamId, list[float]]


def new_table() -> PlacementTable:
    """Return an empty placement table."""
    return PlacementTable({}, {}, {}, {}, {}, {})
