"""Define the rows of the configuration in force."""

import typing

from zinnialead_core import ids


class WeightedServiceRow(typing.NamedTuple):
    """Give one service's share of a route's requests."""

    service: ids.ServiceId
    weight: float


class RouteRow(typing.NamedTuple):
    """Describe one route; ``rank`` 0 is the most urgent."""

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: float
    target_ms: float
    rank: int
    parts: tuple[WeightedServiceRow, ...]
    attempts_max: int
    by_object: bool
    home_regions: frozenset[ids.RegionId]


class ServiceRow(typing.NamedTuple):
    """Describe what every upstream of a service has in common."""

    service: ids.ServiceId
    connections_max: int
    warm_up_ms: float
    cold_per_s: float


class LimitsRow(typing.NamedTuple):
    """Bound what a caller may send, and how slowly."""

    header_bytes_max: int
    body_bytes_max: int
    header_timeout_ms: float
    idle_timeout_ms: float


class Configuration(typing.NamedTuple):
    """Hold one version of routes, services and limits.

    ``by_host`` holds the routes of a host, the longest prefix first.
    """

    version: int
    routes: dict[str, RouteRow]
    services: dict[ids.ServiceId, ServiceRow]
    limits: LimitsRow
    by_host: dict[str, tuple[RouteRow, ...]]


class RouteTable(typing.NamedTuple):
    """Hold the configuration in force and the credit of weighted parts."""

    active: dict[str, Configuration]
    credits: dict[tuple[str, ids.ServiceId], float]


ACTIVE = 'in-force'
# Holds until a first configuration is read: the usual bounds of servers.
DEFAULT_LIMITS = LimitsRow(16_384, 1_048_576, 3_000.0, 15_000.0)


def new_table() -> RouteTable:
    """Return a table without a configuration."""
    return RouteTable({}, {})


def new_configuration(
    version: int,
    routes: dict[str, RouteRow],
    services: dict[ids.ServiceId, ServiceRow],
    limits: LimitsRow,
) -> Configuration:
    """Return a configuration with its routes sorted by host and prefix."""
    by_host: dict[str, list[RouteRow]] = {}
    for row in routes.values():
        by_host.setdefault(row.host, []).append(row)
    ordered = {
        host: tuple(sorted(rows, key=_prefix_length, reverse=True))
        for host, rows in by_host.items()
    }
    return Configuration(version, routes, services, limits, ordered)


def _prefix_length(row: RouteRow) -> int:
    return len(row.prefix)
