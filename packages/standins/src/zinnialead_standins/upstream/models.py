"""Define the behaviour and state of an upstream stand-in."""

import dataclasses
import enum
import random
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Serving:
    """Serve work while a slot is free."""


@dataclasses.dataclass(frozen=True, slots=True)
class Draining:
    """Shed new work, finish what is in flight, and announce to leave."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pausing:
    """Shed new work, fail polls, and ask for a pause with each of them."""

    pause_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """Run work and never answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Truncating:
    """Run work and truncate the answer."""


Behaviour = Serving | Draining | Pausing | Silent | Truncating


@dataclasses.dataclass(frozen=True, slots=True)
class TrueLoad:
    """Report the true load."""


@dataclasses.dataclass(frozen=True, slots=True)
class FixedLoad:
    """Report the same load at all times."""

    in_flight: int


LoadReport = TrueLoad | FixedLoad


class Phase(enum.Enum):
    """Define the progress of a request."""

    WAITING = 'waiting'
    STARTED = 'started'
    CANCELLED = 'cancelled'


class WorkProfile(typing.NamedTuple):
    """Describe the slots, run times and answer size of an upstream.

    The first ``cold_runs`` take ``cold_factor`` times as long on average.
    """

    slots: int
    service_time_ms: float
    start_delay_ms: float = 0.0
    cold_runs: int = 0
    cold_factor: float = 3.0
    answer_bytes: int = 64


class RunRow(typing.NamedTuple):
    """Record one run of a piece of work."""

    work: str
    key: str
    upstream: str
    started_ms: float


class Ledger(typing.NamedTuple):
    """Hold the runs of each piece of work on all upstreams."""

    runs: dict[str, list[RunRow]]


@dataclasses.dataclass(slots=True)
class Upstream:
    """Hold the behaviour, counts and requests of one upstream."""

    name: str
    profile: WorkProfile
    ledger: Ledger
    random: random.Random
    behaviour: Behaviour = Serving()
    report: LoadReport = TrueLoad()
    in_flight: int = 0
    peak_in_flight: int = 0
    started: int = 0
    shed: int = 0
    last_start_ms: float = 0.0
    requests: dict[bytes, Phase] = dataclasses.field(default_factory=dict)


def new_ledger() -> Ledger:
    """Return a ledger without runs."""
    return Ledger({})


def new_upstream(
    name: str, profile: WorkProfile, ledger: Ledger, seed: int = 1
) -> Upstream:
    """Return an idle upstream."""
    return Upstream(name, profile, ledger, random.Random(f'{seed}/{name}'))
