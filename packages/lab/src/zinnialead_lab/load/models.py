"""Define the scenario of a load, its tables and its events."""

import collections
import dataclasses
import random
import typing

from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core import ids


class ServiceRow(typing.NamedTuple):
    """Describe a service's upstreams, ``upstreams`` of them in each region.

    One runs ``slots`` requests, queues ``queue_max`` and caches the last
    ``cached_objects``.
    """

    service: str
    upstreams: dict[str, int]
    slots: int = 5
    queue_max: int = 15
    cached_objects: int = 20


class KindRow(typing.NamedTuple):
    """Describe a kind of request; ``per_s`` is the rate of each region.

    ``work_ms`` is the mean work on an object that the upstream has not
    cached.
    """

    name: str
    service: str
    rank: int
    idempotent: bool
    per_s: float
    work_ms: float
    target_ms: float
    deadline_ms: float
    timeout_ms: float
    objects: int


class BurstRow(typing.NamedTuple):
    """Multiply the rate of a kind from ``start_ms`` to ``end_ms``."""

    kind: str
    factor: float
    start_ms: float
    end_ms: float


class NoiseRow(typing.NamedTuple):
    """Slow a share of the machines by a factor, others each period."""

    share: float
    factor: float
    period_ms: float
    is_reported: bool


class Scenario(typing.NamedTuple):
    """Describe a load and the upstreams that answer it."""

    name: str
    services: tuple[ServiceRow, ...]
    kinds: tuple[KindRow, ...]
    bursts: tuple[BurstRow, ...] = ()
    noise: NoiseRow | None = None
    entries_per_region: int = 3
    length_ms: float = 12_000.0
    seed: int = 1


class CallerRow(typing.NamedTuple):
    """Hold a caller's request over its tries."""

    number: int
    kind: KindRow
    region: str
    object_key: str
    sent_ms: float
    tries: int = 0
    try_ms: float = 0.0


class JobRow(typing.NamedTuple):
    """Hold an attempt that has reached its upstream."""

    entry: str
    dispatch: out.Dispatch
    caller: CallerRow
    reached_ms: float


class UpstreamState(typing.NamedTuple):
    """Hold what an upstream runs, queues and has cached."""

    service: ServiceRow
    region: str
    running: dict[tuple[str, ids.RequestId], JobRow]
    waiting: dict[tuple[str, ids.RequestId], JobRow]
    cached: 'collections.OrderedDict[str, None]'


class ResultRow(typing.NamedTuple):
    """Hold how a caller's request ended.

    ``held_ms`` is the time that the last entry held it.
    """

    caller: CallerRow
    status: int
    ended_ms: float
    held_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSends:
    """Let a caller send its request, or send it again."""

    caller: CallerRow


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptReaches:
    """Let an attempt reach its upstream."""

    job: JobRow


@dataclasses.dataclass(frozen=True, slots=True)
class WorkEnds:
    """Let an upstream end its work on an attempt."""

    job: JobRow


@dataclasses.dataclass(frozen=True, slots=True)
class InputArrives:
    """Let an entry receive the end of an attempt, or a heartbeat."""

    entry: str
    received: inp.Input


@dataclasses.dataclass(frozen=True, slots=True)
class TimerFires:
    """Let an entry process its due timers."""

    entry: str


Event = CallerSends | AttemptReaches | WorkEnds | InputArrives | TimerFires


class World(typing.NamedTuple):
    """Hold the tables of a played load.

    ``pending`` are the callers' requests at each entry, ``events`` a heap
    by time.
    """

    scenario: Scenario
    entries: dict[str, gateway.World]
    regions: dict[str, tuple[str, ...]]
    upstreams: dict[str, UpstreamState]
    pending: dict[tuple[str, ids.RequestId], CallerRow]
    events: list[tuple[float, int, Event]]
    results: list[ResultRow]
    counters: 'collections.Counter[str]'
    random: random.Random


class Summary(typing.NamedTuple):
    """Count what the callers of one kind got.

    ``refused_after_wait`` were refused after over an eighth of their target.
    """

    kind: str
    owed: int
    in_time: int
    late: int
    refused: int
    failed: int
    refused_after_wait: int
    served_on_return: int
