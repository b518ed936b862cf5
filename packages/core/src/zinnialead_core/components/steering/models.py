"""Define the rows and tables of the steering component."""

import collections
import typing

from zinnialead_core import ids


class LoadRow(typing.NamedTuple):
    """Hold the load of a service in a domain, as its slot owner saw it.

    ``seen_ms`` is when the report arrived, on the clock of its receiver.
    """

    service: ids.ServiceId
    domain: ids.DomainId
    slots: int
    in_use: int
    queued: int
    service_time_ms: float
    seen_ms: float


class HeadroomRow(typing.NamedTuple):
    """Hold how many asks may still be redirected to another domain.

    ``asks_left`` is based on the domain's last report.  No asks are
    sent before ``paused_until_ms``.
    """

    asks_left: float
    paused_until_ms: float


class ShiftRow(typing.NamedTuple):
    """Hold one shift that was sent."""

    sent_ms: float
    size_bytes: float


class ServingDomainsRow(typing.NamedTuple):
    """Hold the other domains that serve a service in one state."""

    state_number: int
    same_region: tuple[ids.DomainId, ...]
    other_regions: tuple[ids.DomainId, ...]


class LinkId(typing.NamedTuple):
    """Identify the link of a shift, from one region to another."""

    from_region: ids.RegionId
    to_region: ids.RegionId


LoadTable = dict[tuple[ids.ServiceId, ids.DomainId], LoadRow]


ServiceLink = tuple[ids.ServiceId, LinkId]


class ShiftTable(typing.NamedTuple):
    """Hold recent shifts by service and link, and where to redirect asks.

    ``sent`` covers the cap window.  ``waiting`` has the sizes in bytes of
    admitted shifts that wait for a slot.  ``serving_domains`` is cached
    until the next ticket.  ``answer_bytes`` are mean answer sizes.
    """

    sent: dict[ServiceLink, collections.deque[ShiftRow]]
    waiting: dict[ServiceLink, dict[ids.AskId, float]]
    serving_domains: dict[ids.ServiceId, ServingDomainsRow]
    headrooms: dict[tuple[ids.ServiceId, ids.DomainId], HeadroomRow]
    answer_bytes: dict[ids.ServiceId, float]


def new_loads() -> LoadTable:
    """Return a table without loads."""
    return {}


def new_shifts() -> ShiftTable:
    """Return a table without shifts."""
    return ShiftTable({}, {}, {}, {}, {})
