"""Say which upstreams drains take out of service."""

from zinnialead_core.components.tickets import models


def covers(
    state: models.State, drain: models.Drain, row: models.UpstreamRow
) -> bool:
    """Return whether one drain takes an upstream out of service."""
    match drain:
        case models.UpstreamDrain(upstream):
            return row.upstream == upstream
        case models.DomainDrain(domain):
            return row.domain == domain
        case models.RegionDrain(region):
            place = state.domains.get(row.domain)
            return place is not None and place.region == region


def is_drained(state: models.State, row: models.UpstreamRow) -> bool:
    """Return whether any drain takes an upstream out of service."""
    return any(covers(state, drain, row) for drain in state.drains.values())
