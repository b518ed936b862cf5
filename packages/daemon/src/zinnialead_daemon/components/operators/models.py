"""Define what operators read from one entry."""

from collections import abc
import dataclasses
import typing

from zinnialead_core import dump as core_dump
from zinnialead_daemon.components.engine import models as engine_models


@dataclasses.dataclass(slots=True)
class Operators:
    """Hold the entry that operators look at and their credential."""

    engine: engine_models.Engine
    token: bytes = dataclasses.field(repr=False)
    edges: dict[str, abc.Callable[[], object]] = dataclasses.field(
        default_factory=dict
    )


class MemberView(typing.TypedDict):
    """Show one entry and the ticket in force on it."""

    entry: str
    domain: str
    address: str
    callers_address: str
    health: str
    incarnation: int
    state_number: int
    heard_ago_ms: float


class UpstreamView(typing.TypedDict):
    """Show one upstream; ``in_use`` is null where another entry owns it."""

    upstream: str
    service: str
    domain: str
    slots: int
    in_use: int | None
    healthy: bool | None
    leaving: bool
    draining: bool


class QueueView(typing.TypedDict):
    """Show how many asks wait in a queue that this entry owns."""

    service: str
    rank: str
    queued: int


class DrainView(typing.TypedDict):
    """Show a drain and the work still in flight under it, as seen here."""

    name: str
    kind: str
    target: str
    in_flight: int


class ShiftView(typing.TypedDict):
    """Show this entry's shifts of the last second against the cap."""

    name: str
    from_region: str
    to_region: str
    cap_per_s: float
    shifted_per_s: float


class Fleet(typing.TypedDict):
    """Show the fleet as one entry sees it."""

    entry: str
    domain: str
    region: str
    incarnation: int
    state_number: int
    members: list[MemberView]
    upstreams: list[UpstreamView]
    queues: list[QueueView]
    drains: list[DrainView]
    shifts: list[ShiftView]
    refusals: dict[str, int]


class FullDump(typing.TypedDict):
    """Show an entry's tables and its edges."""

    core: core_dump.Dump
    edges: dict[str, object]


class Stopping(typing.TypedDict):
    """Confirm that the entry stops once nothing is in flight."""

    stopping: bool
    in_hand: int
