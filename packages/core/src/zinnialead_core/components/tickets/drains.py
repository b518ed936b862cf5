"""Decide which upstreams are drained."""

from zinnialead_core.components.tickets import models


def covers(
    state: models.State, drain: models.Drain, row: models.UpstreamRow
) -> bool:
    """Return whether a drain applies to an upstream."""
    match drain:
        case models.UpstreamDrain(upstream):
            return row.upstream == upstream
        case models.DomainDrain(domain):
            return row.domain == domain
        case models.RegionDrain(region):
            domain_row = state.domains.get(row.domain)
            return domain_row is not None and domain_row.region == region


def is_drained(state: models.State, row: models.UpstreamRow) -> bool:
    """Return whether any drain applies to an upstream."""
    return any(covers(state, drain, row) for drain in state.drains.values())
