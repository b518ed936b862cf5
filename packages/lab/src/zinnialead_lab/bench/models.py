"""Define the deployments, scenarios, faults and results of the bench."""

import dataclasses
import typing

from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_lab import fleet


class Deployment(typing.NamedTuple):
    """Hold a deployment and the state that its first ticket sets."""

    name: str
    state: tickets.State
    entries_per_domain: int


@dataclasses.dataclass(frozen=True, slots=True)
class Calm:
    """Inject no fault."""


@dataclasses.dataclass(frozen=True, slots=True)
class OnePool:
    """Run one service in one domain long enough to compare with Erlang C."""

    duration_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """Add work of one rank until all work is ``factor`` times capacity."""

    rank: ids.RankId
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class BrownOut:
    """Restart half of all upstreams with cold caches."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegionDeath:
    """Kill a region's entries and upstreams; restart them with cold caches."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryDeath:
    """Kill one entry, and restart it later."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamDrain:
    """Drain one upstream by a ticket."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegionDrain:
    """Drain a region by a ticket."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutage:
    """Stop the store for a while, with a ticket before and after."""


@dataclasses.dataclass(frozen=True, slots=True)
class Partition:
    """Partition one domain from all others."""


@dataclasses.dataclass(frozen=True, slots=True)
class LyingLoads:
    """Make upstreams report zero load, a stale load or none at all."""


@dataclasses.dataclass(frozen=True, slots=True)
class SilentConnections:
    """Make open connections to some upstreams go silent for good."""


@dataclasses.dataclass(frozen=True, slots=True)
class RollingReplacement:
    """Stop every entry gracefully in turn, and start its successor."""


Fault = (
    Calm
    | OnePool
    | Flood
    | BrownOut
    | RegionDeath
    | EntryDeath
    | UpstreamDrain
    | RegionDrain
    | StoreOutage
    | Partition
    | LyingLoads
    | SilentConnections
    | RollingReplacement
)


class Times(typing.NamedTuple):
    """Hold when faults start, when they are repaired and when work ends."""

    fault_ms: float
    repair_ms: float
    end_ms: float


class Scenario(typing.NamedTuple):
    """Describe a scenario: its load (share of capacity) and its faults."""

    name: str
    load: float
    faults: tuple[Fault, ...]
    times: Times


class TimedInjection(typing.NamedTuple):
    """Hold an injection and when it is due."""

    due_ms: float
    injection: fleet.Injection


class ScenarioRun(typing.NamedTuple):
    """Hold one finished run of a scenario."""

    scenario: Scenario
    deployment: Deployment
    fleet: fleet.Fleet


@dataclasses.dataclass(frozen=True, slots=True)
class AtMost:
    """Require at most this value."""

    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class AtLeast:
    """Require at least this value."""

    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class AboveBaseline:
    """Require more than the baseline's value."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unbounded:
    """Require nothing; the measure is only reported."""


Bound = AtMost | AtLeast | AboveBaseline | Unbounded


class Measure(typing.NamedTuple):
    """Hold one measured value of one run, and its bound."""

    name: str
    unit: str
    value: float
    bound: Bound


class ComparisonRow(typing.NamedTuple):
    """Hold the values of policy and baseline for one measure."""

    scenario: str
    deployment: str
    measure: str
    unit: str
    policy: float
    baseline: float | None
    bound: str
    holds: bool


class ComparisonLine(typing.TypedDict):
    """Describe a row as one line of JSON."""

    scenario: str
    deployment: str
    measure: str
    unit: str
    policy: float
    baseline: float | None
    bound: str
    holds: bool
