"""Define the tables of a soak, and the faults that it injects."""

import dataclasses
import typing


class RequestRow(typing.NamedTuple):
    """Hold a request as its caller saw it; ``status`` 0 is no answer."""

    name: str
    entry: str
    prefix: str
    once: bool
    sent_ms: float
    done_ms: float
    status: int
    is_whole: bool
    detail: str = ''


class RunRow(typing.NamedTuple):
    """Hold one run of a request as an upstream saw it."""

    name: str
    upstream: str
    service: str
    domain: str
    began_ms: float


class SpanRow(typing.NamedTuple):
    """Hold when a fault struck; ``entry`` None is all of them."""

    fault: str
    entry: str | None
    is_planned: bool
    begin_ms: float
    end_ms: float


class VersionRow(typing.NamedTuple):
    """Hold a configuration and when it was acknowledged."""

    version: int
    acked_ms: float
    services: dict[str, str]


class LeftRow(typing.NamedTuple):
    """Hold an upstream or a domain that is to get nothing for a time."""

    upstream: str | None
    domain: str | None
    acked_ms: float
    until_ms: float


class LookUpRow(typing.NamedTuple):
    """Hold which entries an entry named."""

    entry: str
    at_ms: float
    named: frozenset[str]


class DownRow(typing.NamedTuple):
    """Hold when an entry was gone."""

    entry: str
    since_ms: float
    until_ms: float


class ViolationRow(typing.NamedTuple):
    """Hold a promise that was not kept, and by what it shows."""

    promise: str
    detail: str


class Tables(typing.NamedTuple):
    """Hold all that was seen in one run."""

    requests: list[RequestRow]
    runs: list[RunRow]
    spans: list[SpanRow]
    versions: list[VersionRow]
    left: list[LeftRow]
    look_ups: list[LookUpRow]
    down: list[DownRow]
    violations: list[ViolationRow]


def new_tables():
    """Return tables of a run in which nothing was seen yet."""
    return Tables([], [], [], [], [], [], [], [])


@dataclasses.dataclass(frozen=True)
class Clear:
    """Pass everything on."""


@dataclasses.dataclass(frozen=True)
class Delayed:
    """Pass everything on after a time."""

    delay_ms: float


@dataclasses.dataclass(frozen=True)
class Silent:
    """Take everything and pass nothing on."""


@dataclasses.dataclass(frozen=True)
class OneWay:
    """Pass nothing back."""


@dataclasses.dataclass(frozen=True)
class Reset:
    """Reset what is open, and each new connection."""


@dataclasses.dataclass(frozen=True)
class Kill:
    """Kill some entries and start them again, with a clock that is off."""

    entries: tuple[str, ...]
    down_ms: float
    clock_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Stop:
    """Tell an entry to stop, and start it again once it is gone."""

    entry: str
    down_ms: float


@dataclasses.dataclass(frozen=True)
class Pause:
    """Let an entry stand still."""

    entry: str
    for_ms: float


@dataclasses.dataclass(frozen=True)
class Reload:
    """Tell an entry that its settings have changed."""

    entry: str


@dataclasses.dataclass(frozen=True)
class StoreFault:
    """Let the store misbehave for all entries."""

    trouble: str
    for_ms: float


@dataclasses.dataclass(frozen=True)
class StoreLink:
    """Harm the links of some entries to the store."""

    entries: tuple[str, ...]
    condition: object
    for_ms: float


@dataclasses.dataclass(frozen=True)
class FrontLink:
    """Harm the link between callers and an entry."""

    entry: str
    condition: object
    for_ms: float


@dataclasses.dataclass(frozen=True)
class UpstreamLink:
    """Harm the link to an upstream."""

    place: int
    condition: object
    for_ms: float


@dataclasses.dataclass(frozen=True)
class Replace:
    """Let an upstream die; another service takes its address."""

    place: int
    missing_ms: float


@dataclasses.dataclass(frozen=True)
class Drain:
    """Let an upstream leave, and another one of its service come."""

    place: int


@dataclasses.dataclass(frozen=True)
class Evacuate:
    """Ask that nothing more is sent to a domain's upstreams."""

    domain: str
    for_ms: float


@dataclasses.dataclass(frozen=True)
class Configure:
    """Add a route, or move one to another service."""

    is_new: bool
