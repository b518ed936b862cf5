"""Define the rows of the upstreams table."""

import typing

from zinnialead_core import ids


class HealthRow(typing.NamedTuple):
    """Hold what is seen and told of one upstream.

    ``failures`` are those in a row of attempts from here; the upstream
    is left out until ``out_until_ms`` and then is ``on_trial`` with one
    slot. ``since_ms`` is when it came into service, None where it was
    there from the start. ``limit`` is the slots believed after the shed
    at ``shed_ms``. ``excess`` is the told work in flight above what was
    granted here; ``told_same`` counts reports in a row of one value.
    """

    upstream: ids.UpstreamId
    healthy: bool = True
    leaving: bool = False
    failures: int = 0
    out_until_ms: float = 0.0
    told_in_flight: int | None = None
    heard_ms: float | None = None
    on_trial: bool = False
    times_out: int = 0
    since_ms: float | None = None
    proved_ms: float | None = None
    limit: float | None = None
    shed_ms: float = 0.0
    excess: int = 0
    last_peak: int = 0
    told_same: int = 0
    drained: bool = False
