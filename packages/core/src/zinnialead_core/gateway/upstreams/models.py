"""Define the rows of the upstreams tables."""

import typing

from zinnialead_core import ids


class UpstreamRow(typing.NamedTuple):
    """Describe one run of an upstream, as it registered.

    ``born_ms`` is its start on the wall clock; ``cold_ms`` is for how long
    it said to stay cold when it was registered or changed.
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


class UpstreamTable(typing.NamedTuple):
    """Hold the upstreams, the drained domains and the cold upstreams.

    ``missing`` are upstreams that the store does not name any more after
    an outage, with the time until which they may still register again.
    ``changes`` counts what may change which upstreams are usable, so that
    what is worked out from them can tell that it is old.
    """

    rows: dict[ids.UpstreamId, UpstreamRow]
    by_service: dict[ids.ServiceId, tuple[ids.UpstreamId, ...]]
    drained: set[ids.DomainId]
    cold_until_ms: dict[ids.UpstreamId, float]
    missing: dict[ids.UpstreamId, float]
    changes: list[int]


def new_table() -> UpstreamTable:
    """Return a table without upstreams."""
    return UpstreamTable({}, {}, set(), {}, {}, [0])
