"""Define the tables of a soak, and the faults that it injects."""

import dataclasses
import typing


class RequestRow(typing.NamedTuple):
    """Hold a request as its caller saw it; ``status`` 0 is no response.

    ``once`` marks a non-idempotent request; ``is_whole`` a response that is
    complete, sealed and the request's own.
    """

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
    """Hold one execution of a request, and until when its work lasts."""

    name: str
    upstream: str
    service: str
    domain: str
    began_ms: float
    until_ms: float


class UpstreamStartRow(typing.NamedTuple):
    """Hold when a run of an upstream began, after an earlier one."""

    upstream: str
    started_ms: float


class SpanRow(typing.NamedTuple):
    """Hold the time span of a fault; ``entry`` None stands for all."""

    fault: str
    entry: str | None
    is_planned: bool
    begin_ms: float
    end_ms: float


class VersionRow(typing.NamedTuple):
    """Hold services by path prefix, and when the store acknowledged them."""

    version: int
    acked_ms: float
    services: dict[str, str]


class LeftRow(typing.NamedTuple):
    """Hold the drain of an upstream or a domain; the other one is None."""

    upstream: str | None
    domain: str | None
    acked_ms: float
    until_ms: float


class LookUpRow(typing.NamedTuple):
    """Hold which entries the answer to a look-up named."""

    entry: str
    at_ms: float
    named: frozenset[str]


class DownRow(typing.NamedTuple):
    """Hold when an entry was down."""

    entry: str
    since_ms: float
    until_ms: float


class ProcessRow(typing.NamedTuple):
    """Hold when a process of an entry started and when it got SIGTERM."""

    entry: str
    started_ms: float
    stopping_ms: float


class ViolationRow(typing.NamedTuple):
    """Hold the name of a failed check and what it found."""

    check: str
    detail: str


class Tables(typing.NamedTuple):
    """Hold everything recorded in one run."""

    requests: list[RequestRow]
    runs: list[RunRow]
    spans: list[SpanRow]
    versions: list[VersionRow]
    departures: list[LeftRow]
    look_ups: list[LookUpRow]
    outages: list[DownRow]
    processes: list[ProcessRow]
    upstream_starts: list[UpstreamStartRow]
    violations: list[ViolationRow]


def new_tables():
    """Return the empty tables of a run."""
    return Tables([], [], [], [], [], [], [], [], [], [])


@dataclasses.dataclass(frozen=True)
class Clear:
    """Forward everything."""


@dataclasses.dataclass(frozen=True)
class Delayed:
    """Forward everything after a delay."""

    delay_ms: float


@dataclasses.dataclass(frozen=True)
class Silent:
    """Accept everything and forward nothing."""


@dataclasses.dataclass(frozen=True)
class OneWay:
    """Forward requests but no responses."""


@dataclasses.dataclass(frozen=True)
class Reset:
    """Reset open connections and each new one."""


@dataclasses.dataclass(frozen=True)
class Kill:
    """Kill entries and restart them with their clocks shifted."""

    entries: tuple[str, ...]
    down_ms: float
    clock_offset_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Stop:
    """Stop an entry with SIGTERM, and restart it after its exit."""

    entry: str
    down_ms: float


@dataclasses.dataclass(frozen=True)
class Pause:
    """Suspend an entry with SIGSTOP."""

    entry: str
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class Reload:
    """Send SIGHUP to an entry, so that it reloads its settings."""

    entry: str


@dataclasses.dataclass(frozen=True)
class StoreFault:
    """Make the store fail for all entries, or drop its history (compacted)."""

    store_condition: str
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class StoreRestored:
    """Make the store fail, and come back from a copy.

    ``condition`` is the store's, or that of all links to it.
    """

    condition: object
    copy_age_ms: float
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class StoreLink:
    """Impair the links of some entries to the store."""

    entries: tuple[str, ...]
    condition: object
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class ReadersKilled:
    """Kill the readers of a region at once, and restart them."""

    region: str
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class ReadersPaused:
    """Suspend the readers of a region at once."""

    region: str
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class ReadersSilenced:
    """Let the links of a region's readers to the store carry nothing."""

    region: str
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class FrontLink:
    """Impair the link between callers and an entry."""

    entry: str
    condition: object
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class UpstreamLink:
    """Impair the link to an upstream."""

    endpoint_index: int
    condition: object
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class RestartUpstream:
    """Crash an upstream, and start it again under its id.

    The store may show the earlier run for ``registered_ms`` more.
    """

    endpoint_index: int
    duration_ms: float
    registered_ms: float


@dataclasses.dataclass(frozen=True)
class Replace:
    """Stop an upstream; another service takes its address."""

    endpoint_index: int
    missing_ms: float


@dataclasses.dataclass(frozen=True)
class Drain:
    """Drain an upstream after adding another one to its service.

    An upstream that does not announce it is removed and serves on.
    """

    endpoint_index: int
    is_announced: bool = True


@dataclasses.dataclass(frozen=True)
class Join:
    """Add an upstream to a service."""

    service: str
    domain: str


@dataclasses.dataclass(frozen=True)
class Evacuate:
    """Evacuate a domain: its upstreams get no more requests."""

    domain: str
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class Configure:
    """Add a route, or move one to another service."""

    is_new: bool
