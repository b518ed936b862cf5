"""Define the rows of the upstreams table."""

import typing

from zinnialead_core import ids


class HealthRow(typing.NamedTuple):
    """Hold what is seen and told of one upstream."""

    upstream: ids.UpstreamId
    healthy: bool
    leaving: bool
    failures: int
    out_until_ms: float
    told_in_flight: int | None
    heard_ms: float
