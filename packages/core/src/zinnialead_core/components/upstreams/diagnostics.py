"""Describe the health of upstreams for a dump."""

import typing

from zinnialead_core.notices import pauses
from zinnialead_core import world as world_module


class UpstreamDump(typing.TypedDict):
    """Show the observed and reported state of one upstream."""

    healthy: bool
    leaving: bool
    announced_leaving: bool
    paused_for_ms: float | None
    drained: bool
    on_trial: bool
    failures: int
    out_until_ms: float
    believed_limit: float | None
    told_in_flight: int | None
    told_excess: int


UpstreamsDump = dict[str, UpstreamDump]


def dump(world: world_module.World, now_ms: float) -> UpstreamsDump:
    """Return the upstreams' part of the state dump."""
    return {
        str(row.upstream): UpstreamDump(
            healthy=row.healthy,
            leaving=row.leaving,
            announced_leaving=row.announced_ms is not None,
            paused_for_ms=pauses.left_ms(world.pauses, now_ms, row.upstream)
            or None,
            drained=row.drained,
            on_trial=row.on_trial,
            failures=row.failures,
            out_until_ms=row.out_until_ms,
            believed_limit=row.shed_limit,
            told_in_flight=row.told_in_flight,
            told_excess=row.excess,
        )
        for row in world.upstreams.values()
    }
