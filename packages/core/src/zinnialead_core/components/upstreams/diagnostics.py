"""Describe the upstreams for a dump."""

import typing

from zinnialead_core import world as world_module


class UpstreamDump(typing.TypedDict):
    """Show what is believed of one upstream."""

    healthy: bool
    leaving: bool
    failures: int


def dump(world: world_module.World) -> dict[str, UpstreamDump]:
    """Return the upstreams' part of the state dump."""
    return {
        str(row.upstream): UpstreamDump(
            healthy=row.healthy, leaving=row.leaving, failures=row.failures
        )
        for row in world.upstreams.values()
    }
