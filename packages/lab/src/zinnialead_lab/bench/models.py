"""Define the rows of the benches: deployments, scenarios, results."""

import dataclasses
import typing

from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_lab import fleet


class Deployment(typing.NamedTuple):
    """Name a deployment and what its first ticket puts in force."""

    name: str
    state: tickets.State
    entries_per_domain: int


@dataclasses.dataclass(frozen=True, slots=True)
class Calm:
    """Bring about no fault."""


@dataclasses.dataclass(frozen=True, slots=True)
class OnePool:
    """Run one service in one domain long enough to compare with Erlang."""

    duration_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """Add work of one rank until the whole is a multiple of capacity."""

    rank: ids.RankId
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class BrownOut:
    """Slow half of all upstreams down, as with cold caches."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegionDeath:
    """Kill a region's entries and upstreams, and bring them back cold."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryDeath:
    """Kill one entry."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamDrain:
    """Drain one upstream by a ticket."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegionDrain:
    """Drain a region by a ticket."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutage:
    """Take the store away, with tickets before and after."""


@dataclasses.dataclass(frozen=True, slots=True)
class Partition:
    """Cut one domain off from everything else."""


@dataclasses.dataclass(frozen=True, slots=True)
class LyingLoads:
    """Let upstreams report no load, an old load or nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class SilentConnections:
    """Let open connections to upstreams go silent for good."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rolling:
    """Replace every entry in turn by planned stops."""


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
    | Rolling
)


class Times(typing.NamedTuple):
    """Say when faults begin and are repaired, and when work ends."""

    fault_ms: float
    repair_ms: float
    end_ms: float


class Scenario(typing.NamedTuple):
    """Name a scenario: its load and the faults that it brings about."""

    name: str
    load: float
    faults: tuple[Fault, ...]
    times: Times


class TimedInjection(typing.NamedTuple):
    """Set when an injection is brought about."""

    due_ms: float
    injection: fleet.Injection


class Sample(typing.NamedTuple):
    """Hold one finished run of a scenario."""

    scenario: Scenario
    deployment: Deployment
    fleet: fleet.Fleet


@dataclasses.dataclass(frozen=True, slots=True)
class AtMost:
    """Bound a measure from above."""

    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class AtLeast:
    """Bound a measure from below."""

    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class AboveBaseline:
    """Ask for more than the baseline has."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unbound:
    """Only report a measure."""


Bound = AtMost | AtLeast | AboveBaseline | Unbound


class Measure(typing.NamedTuple):
    """Hold one measure of one run."""

    name: str
    unit: str
    value: float
    bound: Bound


class ComparisonRow(typing.NamedTuple):
    """Compare the policy with the baseline and the bound."""

    scenario: str
    deployment: str
    measure: str
    unit: str
    policy: float
    baseline: float | None
    bound: str
    holds: bool


class ComparisonLine(typing.TypedDict):
    """Write a row as one line of JSON."""

    scenario: str
    deployment: str
    measure: str
    unit: str
    policy: float
    baseline: float | None
    bound: str
    holds: bool
