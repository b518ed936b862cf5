"""Describe the state in force for a dump."""

import typing

from zinnialead_core.components.tickets import coordinator
from zinnialead_core import world as world_module


class TicketsDump(typing.TypedDict):
    """Show the number of the state in force and what it contains."""

    number: int
    services: int
    upstreams: int
    drains: list[str]


def dump(world: world_module.World) -> TicketsDump:
    """Return the tickets' part of the state dump."""
    state = coordinator.in_force(world)
    return TicketsDump(
        number=state.number,
        services=len(state.services),
        upstreams=len(state.upstreams),
        drains=sorted(state.drains),
    )
