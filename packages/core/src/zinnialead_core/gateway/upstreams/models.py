"""Define the rows of the upstreams tables."""

import collections
import typing

from zinnialead_core import ids


class UpstreamRow(typing.NamedTuple):
    """Hold the registration of one run of an upstream.

    ``born_ms`` is its start time on the wall clock, and ``cold_ms`` how
    long it expected to stay cold when it wrote the registration.
    """

    upstream: ids.UpstreamId
    service: ids.ServiceId
    address: str
    domain: ids.DomainId
    slots: int
    leaving: bool
    cold_ms: float
    born_ms: int
    revision: int


class EndedRow(typing.NamedTuple):
    """Hold which run of an upstream was removed, and when.

    ``leaving`` is set if it had announced to leave.
    """

    born_ms: int
    ended_ms: float
    leaving: bool


class UpstreamTable(typing.NamedTuple):
    """Hold the upstreams, the drained domains and the cold upstreams.

    ``expiring`` are upstreams whose registration expired during an outage
    of the store, with the time until which they may register again, and
    ``expiring_drains`` are drains that a restored store lacks.  ``ended``
    are runs that were removed lately.  ``doubtful`` are registrations that
    a restored store shows of runs that have ended or were replaced.
    ``generations`` are increased whenever a service's usable upstreams may
    change, so that caches of values derived from them can be invalidated.
    """

    rows: dict[ids.UpstreamId, UpstreamRow]
    by_service: dict[ids.ServiceId, tuple[ids.UpstreamId, ...]]
    drained: set[ids.DomainId]
    cold_until_ms: dict[ids.UpstreamId, float]
    expiring: dict[ids.UpstreamId, float]
    generations: 'collections.Counter[ids.ServiceId]'
    expiring_drains: set[ids.DomainId]
    ended: dict[ids.UpstreamId, EndedRow]
    doubtful: dict[ids.UpstreamId, UpstreamRow]


def new_table() -> UpstreamTable:
    """Return a table without upstreams."""
    return UpstreamTable(
        {}, {}, set(), {}, {}, collections.Counter(), set(), {}, {}
    )
