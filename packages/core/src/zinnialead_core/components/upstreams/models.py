"""Define the rows of the upstreams table."""

import typing

from zinnialead_core import ids


class HealthRow(typing.NamedTuple):
    """Hold what this entry observed of one upstream and what it reported.

    ``failures`` counts this entry's failed attempts in a row. An ejected
    upstream has no slots until ``out_until_ms`` and then one; it is
    ``on_trial`` until a success. ``ejections`` counts ejections since the
    last success, up to a maximum. ``ramp_start_ms`` is when it came or
    returned into service, None if it was there from the start.
    ``answered_ms`` is when it last served or shed an attempt; ``shed_limit``
    holds the usable slots after the shed at ``shed_ms``. ``excess`` is the
    reported work in flight above what was granted here, ``previous_peak`` the
    most granted at once before the last report. ``repeated_reports`` counts
    how often the same load was reported again in a row.

    ``announced_ms`` is when an answer last announced that the upstream
    leaves, None if it is not known to; ``polled_ms`` is when the last poll
    began that showed a run in service. ``address`` is that of the run.
    """

    upstream: ids.UpstreamId
    healthy: bool = True
    leaving: bool = False
    failures: int = 0
    out_until_ms: float = 0.0
    told_in_flight: int | None = None
    reported_ms: float | None = None
    on_trial: bool = False
    ejections: int = 0
    ramp_start_ms: float | None = None
    answered_ms: float | None = None
    shed_limit: float | None = None
    shed_ms: float = 0.0
    excess: int = 0
    previous_peak: int = 0
    repeated_reports: int = 0
    drained: bool = False
    announced_ms: float | None = None
    polled_ms: float | None = None
    address: str = ''
