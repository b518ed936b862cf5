"""Keep the upstreams of each service, and the generations of caches."""

from zinnialead_core.gateway.upstreams import models


def add(table: models.UpstreamTable, row: models.UpstreamRow) -> None:
    """Add an upstream to those of its service."""
    names = table.by_service.get(row.service, ())
    table.by_service[row.service] = (*names, row.upstream)


def remove(table: models.UpstreamTable, row: models.UpstreamRow) -> None:
    """Remove an upstream from those of its service."""
    names = table.by_service.get(row.service, ())
    table.by_service[row.service] = tuple(
        name for name in names if name != row.upstream
    )
    table.generations[row.service] += 1


def start_generations(table: models.UpstreamTable) -> None:
    """Begin a new generation of every service, as a drain changes."""
    table.generations.update(table.by_service.keys())
