"""Define the documents that operators read from an entry."""

from collections import abc
import dataclasses
import typing

from zinnialead_core import dump as core_dump
from zinnialead_daemon.components.engine import models as engine_models


@dataclasses.dataclass(slots=True)
class Operators:
    """Hold the state of the operators' port.

    ``edges`` maps each component of the daemon to its dump function.
    """

    engine: engine_models.Engine
    token: bytes = dataclasses.field(repr=False)
    edges: dict[str, abc.Callable[[], object]] = dataclasses.field(
        default_factory=dict
    )


class MemberView(typing.TypedDict):
    """Describe one entry and the number of the state in force on it."""

    entry: str
    domain: str
    address: str
    callers_address: str
    health: str
    incarnation: int
    state_number: int
    heard_ago_ms: float


class UpstreamView(typing.TypedDict):
    """Describe one upstream; ``in_use`` is null if another entry owns it.

    ``paused_for_ms`` is null unless the upstream asked for a pause.
    """

    upstream: str
    service: str
    domain: str
    slots: int
    in_use: int | None
    healthy: bool | None
    leaving: bool
    paused_for_ms: float | None
    draining: bool


class QueueView(typing.TypedDict):
    """Give the length of a queue that this entry owns."""

    service: str
    rank: str
    queued: int


class DrainView(typing.TypedDict):
    """Describe a drain and its requests in flight, as this entry sees them."""

    name: str
    kind: str
    target: str
    in_flight: int


class ShiftView(typing.TypedDict):
    """Give this entry's shifted requests of the last second and their cap."""

    name: str
    from_region: str
    to_region: str
    cap_per_s: float
    shifted_per_s: float


class Fleet(typing.TypedDict):
    """Describe the fleet as one entry sees it."""

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
    """Define the dump of the core and of the daemon's components."""

    core: core_dump.Dump
    edges: dict[str, object]


class Stopping(typing.TypedDict):
    """Confirm that the entry stops once nothing is in flight."""

    stopping: bool
    in_hand: int
