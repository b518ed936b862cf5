"""Define the rows of the placement tables."""

import typing

from zinnialead_core import ids


class LoadRow(typing.NamedTuple):
    """Hold what this entry believes of one upstream's load.

    ``others`` is the load by other entries when the upstream last told
    its load, at ``told_ms``; ``failing`` and ``pace`` are moving means of
    failures an attempt and of service time over the usual.
    """

    in_flight: int = 0
    others: float = 0.0
    told_ms: float = 0.0
    failures: int = 0
    out_until_ms: float = 0.0
    failing: float = 0.0
    pace: float = 1.0


class RemoteShareRow(typing.NamedTuple):
    """Hold the share of a service's objects that is served abroad.

    ``overflow`` counts the requests that may leave the region out of turn,
    ``near_slots`` are those at home when the share was last looked at.
    """

    share: float = 0.0
    overflow: float = 0.0
    near_slots: int = 0


class PlacementRequest(typing.NamedTuple):
    """Say what a request needs of an upstream."""

    service: ids.ServiceId
    object_key: str
    rank: int
    home_regions: frozenset[ids.RegionId]
    tried: tuple[ids.UpstreamId, ...]


class Order(typing.NamedTuple):
    """Hold an object's upstreams, the preferred first.

    ``near`` are those at home; ``far`` holds a group for each other
    region, the preferred region first.
    """

    near: tuple[ids.UpstreamId, ...]
    far: tuple[tuple[ids.UpstreamId, ...], ...]


class PlacementTable(typing.NamedTuple):
    """Hold orders by object, shares abroad and what cold upstreams got.

    ``orders_as_of`` is the count of changes of the upstreams that the
    orders are worked out from.  ``cold_sent`` are the times at which cold
    upstreams were sent to in the last second, ``usual_ms`` is the usual
    service time of a route.
    """

    orders: dict[tuple[ids.ServiceId, str, frozenset[ids.RegionId]], Order]
    orders_as_of: list[int]
    remote_shares: dict[ids.ServiceId, RemoteShareRow]
    usual_ms: dict[str, float]
    cold_sent: dict[ids.UpstreamId, list[float]]


def new_table() -> PlacementTable:
    """Return a table that has placed nothing."""
    return PlacementTable({}, [0], {}, {}, {})
