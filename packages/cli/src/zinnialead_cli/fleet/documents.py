"""Define the fleet view that an entry's operators' port returns."""

import typing


class MemberDocument(typing.TypedDict):
    """Show one entry as another one sees it."""

    entry: str
    domain: str
    address: str
    health: str
    incarnation: int
    state_number: int
    heard_ago_ms: float


class UpstreamDocument(typing.TypedDict):
    """Show one upstream; ``in_use`` is null except on its slot owner.

    Entries of earlier releases have no ``paused_for_ms``.
    """

    upstream: str
    service: str
    domain: str
    slots: int
    in_use: int | None
    healthy: bool | None
    leaving: bool
    paused_for_ms: typing.NotRequired[float | None]
    draining: bool


class QueueDocument(typing.TypedDict):
    """Count the slot requests of one rank queued at a slot owner."""

    service: str
    rank: str
    queued: int


class DrainDocument(typing.TypedDict):
    """Show a drain and the requests in flight on what it drains."""

    name: str
    kind: str
    target: str
    in_flight: int


class ShiftDocument(typing.TypedDict):
    """Show a shift cap and the rate that one entry shifts under it."""

    name: str
    from_region: str
    to_region: str
    cap_per_s: float
    shifted_per_s: float


class FleetDocument(typing.TypedDict):
    """Show the fleet as one entry sees it."""

    entry: str
    domain: str
    region: str
    incarnation: int
    state_number: int
    members: list[MemberDocument]
    upstreams: list[UpstreamDocument]
    queues: list[QueueDocument]
    drains: list[DrainDocument]
    shifts: list[ShiftDocument]
    refusals: dict[str, int]
