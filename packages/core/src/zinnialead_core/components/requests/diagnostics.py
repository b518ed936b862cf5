"""Describe the requests in progress for the state dump."""

import collections
import typing

from zinnialead_core import world as world_module


class RequestsDump(typing.TypedDict):
    """Count the requests in progress by phase."""

    in_hand: int
    by_phase: dict[str, int]
    retry_tokens: dict[str, float]
    stopping: bool


def dump(world: world_module.World) -> RequestsDump:
    """Return the requests section of the state dump."""
    table = world.requests
    phases = collections.Counter(
        row.phase.value for row in table.rows.values()
    )
    return RequestsDump(
        in_hand=len(table.rows),
        by_phase=dict(phases),
        retry_tokens={str(k): v for k, v in table.retry_tokens.items()},
        stopping=bool(table.stopping),
    )
