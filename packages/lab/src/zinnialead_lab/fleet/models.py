"""Define the tables of a fleet: entries, callers, upstreams, the store."""

import collections
import dataclasses
import enum
import random
import typing

import zinnialead_core as core
from zinnialead_core.components import lookups
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import verdict
from zinnialead_lab.fleet import meters

WorkId = typing.NewType('WorkId', int)


class ProcessState(enum.Enum):
    """Say whether an entry's process runs."""

    RUNNING = 'running'
    PAUSED = 'paused'
    STOPPED = 'stopped'
    DEAD = 'dead'


@dataclasses.dataclass(frozen=True, slots=True)
class Core:
    """Decide by the core's systems."""

    world: core.World


@dataclasses.dataclass(frozen=True, slots=True)
class Plain:
    """Decide the plain way: random upstreams, timeouts, three retries."""

    table: 'PlainTable'


Policy = Core | Plain


class PlainRow(typing.NamedTuple):
    """Hold one request that the plain way has in hand."""

    item: inp.RequestArrived
    attempt: int
    timeout_ms: float
    may_have_run: bool


class PlainTable(typing.NamedTuple):
    """Hold what an entry of the plain way knows."""

    states: dict[str, tickets.State]
    rows: dict[ids.RequestId, PlainRow]
    due: list[tuple[float, ids.RequestId, int]]
    random: random.Random


class EntryRow(typing.NamedTuple):
    """Hold one entry VM: its process, and the inputs held in a pause."""

    ref: ids.EntryRef
    domain: ids.DomainId
    region: ids.RegionId
    policy: Policy
    process_state: ProcessState
    started_ms: float
    ended_ms: float
    held: list[inp.Input]


class Work(typing.NamedTuple):
    """Ask for one piece of work; ``demand_ms`` is its service time."""

    work_id: WorkId
    arrived_ms: float
    service: ids.ServiceId
    rank: ids.RankId
    domain: ids.DomainId
    demand_ms: float
    deadline_ms: float
    keyed: bool = False
    free_key: bool = False


class CallerName(typing.NamedTuple):
    """Name one caller of a failure domain."""

    domain: ids.DomainId
    number: int


class LookedUp(typing.NamedTuple):
    """Hold an answer, and how long the caller waited for it."""

    answer: lookups.LookUpAnswer
    waited_ms: float


class CachedLookUp(typing.NamedTuple):
    """Hold an answer that a caller may use until it expires."""

    answer: lookups.LookUpAnswer
    expires_ms: float


class CallerRow(typing.NamedTuple):
    """Hold one piece of work between its arrival and its end."""

    work: Work
    answer: lookups.LookUpAnswer
    attempt: int
    key: ids.Key | None
    may_have_run: bool


class CallId(typing.NamedTuple):
    """Name one request as one run of one entry knows it."""

    ref: ids.EntryRef
    request_id: ids.RequestId


class CallRow(typing.NamedTuple):
    """Hold whose work a request at an entry is."""

    work_id: WorkId
    attempt: int
    key: ids.Key | None


class CompletionRow(typing.NamedTuple):
    """Hold how a piece of work ended for its caller."""

    work: Work
    verdict: verdict.Verdict
    reason: str
    ended_ms: float
    is_own_answer: bool
    may_have_run: bool


class DispatchId(typing.NamedTuple):
    """Name one attempt of a request at an upstream."""

    call: CallId
    attempt: int


class DispatchRow(typing.NamedTuple):
    """Hold one attempt as its upstream knows it."""

    dispatch: DispatchId
    upstream: ids.UpstreamId
    work: Work
    key: ids.Key | None
    deadline_ms: float


class RunRow(typing.NamedTuple):
    """Record that an upstream ran a piece of work."""

    work_id: WorkId
    key: ids.Key | None
    upstream: ids.UpstreamId
    entry: ids.EntryId
    started_ms: float
    ended_ms: float | None


class KillRow(typing.NamedTuple):
    """Record the death of an entry, and its keyed work at upstreams."""

    ref: ids.EntryRef
    killed_ms: float
    in_flight: int


class Condition(enum.Enum):
    """Say what is wrong with an upstream."""

    WELL = 'well'
    LEAVING = 'leaving'
    SILENT = 'silent'
    DEAD = 'dead'


class LoadFault(enum.Enum):
    """Say how an upstream misreports its load."""

    NONE = 'none'
    ZERO = 'zero'
    FROZEN = 'frozen'
    ABSENT = 'absent'


class UpstreamRow(typing.NamedTuple):
    """Hold one upstream: what runs, what waits, what it says of itself."""

    known: tickets.UpstreamRow
    region: ids.RegionId
    condition: Condition
    load_fault: LoadFault
    cold_until_ms: float
    running: dict[DispatchId, int]
    waiting: dict[DispatchId, DispatchRow]
    told_in_flight: list[int]


class NetworkRow(typing.NamedTuple):
    """Hold what the network does to messages between entries."""

    drop_share: float = 0.0
    duplicate_share: float = 0.0
    reorder_share: float = 0.0
    reorder_max_ms: float = 20.0
    cut: tuple[frozenset[ids.DomainId], ...] = ()


class Object(typing.NamedTuple):
    """Hold one object of the store."""

    value: bytes
    version: int


class WatchRow(typing.NamedTuple):
    """Hold a watch that waits at the store."""

    ref: ids.EntryRef
    call_id: int
    name: str
    version: int


class StoreRow(typing.NamedTuple):
    """Hold the condition of the store."""

    domain: ids.DomainId
    down: bool = False
    slow_ms: float = 0.0
    lost_answer_share: float = 0.0


@dataclasses.dataclass(slots=True)
class Fleet:
    """Hold every table of the fleet, its clock and its pending events."""

    now_ms: float
    sequence: int
    heap: list[tuple[float, int, object]]
    state: tickets.State
    entries: dict[ids.EntryId, EntryRow]
    wakes_ms: dict[ids.EntryId, float]
    upstreams: dict[ids.UpstreamId, UpstreamRow]
    network: NetworkRow
    store: StoreRow
    objects: dict[str, Object]
    watches: dict[tuple[ids.EntryRef, int], WatchRow]
    store_done: set[tuple[ids.EntryRef, int]]
    states: dict[bytes, tickets.State]
    look_ups: dict[CallerName, CachedLookUp]
    works: dict[WorkId, Work]
    callers: dict[WorkId, CallerRow]
    calls: dict[CallId, CallRow]
    completions: list[CompletionRow]
    dispatches: dict[DispatchId, DispatchRow]
    answers: dict[DispatchId, WorkId]
    runs: list[RunRow]
    silent: set[tuple[ids.EntryId, ids.UpstreamId]]
    heard_ms: dict[tuple[ids.EntryId, ids.UpstreamId], float]
    adopted_ms: dict[tuple[ids.EntryRef, int], float]
    highest: dict[ids.EntryRef, int]
    filed_ms: dict[int, float]
    kills: list[KillRow]
    sent_works: set[WorkId]
    counters: collections.Counter[str]
    random: random.Random
    plain: bool = False
    meter: meters.Meter | None = None
