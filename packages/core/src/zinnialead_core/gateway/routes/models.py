"""Define the rows of configurations."""

import typing

from zinnialead_core import ids


class WeightedServiceRow(typing.NamedTuple):
    """Hold one service of a route and its share of the requests."""

    service: ids.ServiceId
    weight: float


class RouteRow(typing.NamedTuple):
    """Describe one route; ``rank`` 0 is the most urgent.

    ``parts`` split its requests over services, ``attempts_max`` bounds how
    often a request is sent, and ``by_object`` places requests by the object
    that they name.  Empty ``home_regions`` allow every region.
    """

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
    """Describe what the upstreams of a service have in common.

    ``cold_per_s`` is the request rate that one tolerates while it is cold,
    and ``health_path`` is where it answers health checks, empty if nowhere.
    """

    service: ids.ServiceId
    connections_max: int
    warm_up_ms: float
    cold_per_s: float
    health_path: str = ''


class LimitsRow(typing.NamedTuple):
    """Limit the size and the duration of what a caller sends."""

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
    """Hold the active configuration and the credits of weighted services.

    ``active`` has no key but ``ACTIVE``, and none before the first
    configuration; ``credits`` are by route name and service.
    """

    active: dict[str, Configuration]
    credits: dict[tuple[str, ids.ServiceId], float]


ACTIVE = 'in-force'
# Apply until the first configuration is read: usual limits of servers.
DEFAULT_LIMITS = LimitsRow(16_384, 1_048_576, 3_000.0, 15_000.0)


def new_table() -> RouteTable:
    """Return a table without an active configuration."""
    return RouteTable({}, {})


def new_configuration(
    version: int,
    routes: dict[str, RouteRow],
    services: dict[ids.ServiceId, ServiceRow],
    limits: LimitsRow,
) -> Configuration:
    """Return a configuration with its routes indexed by host."""
    by_host: dict[str, list[RouteRow]] = {}
    for row in routes.values():
        by_host.setdefault(row.host, []).append(row)
    sorted_by_host = {
        host: tuple(sorted(rows, key=_prefix_length, reverse=True))
        for host, rows in by_host.items()
    }
    return Configuration(version, routes, services, limits, sorted_by_host)


def _prefix_length(row: RouteRow) -> int:
    return len(row.prefix)
