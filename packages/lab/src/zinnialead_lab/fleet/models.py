"""Define the tables of a fleet: entries, callers, upstreams and store."""

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
    """List the states of an entry's process."""

    RUNNING = 'running'
    PAUSED = 'paused'
    STOPPED = 'stopped'
    DEAD = 'dead'


@dataclasses.dataclass(frozen=True, slots=True)
class CorePolicy:
    """Decide with the systems of the core."""

    world: core.World


@dataclasses.dataclass(frozen=True, slots=True)
class BaselinePolicy:
    """Decide with random upstreams, timeouts and three retries."""

    table: 'BaselineTable'


Policy = CorePolicy | BaselinePolicy


class BaselineRow(typing.NamedTuple):
    """Hold one request in progress under the baseline policy."""

    request: inp.RequestArrived
    attempt: int
    timeout_ms: float
    may_have_run: bool


class BaselineTable(typing.NamedTuple):
    """Hold the state and the requests of a baseline entry."""

    states: dict[str, tickets.State]
    rows: dict[ids.RequestId, BaselineRow]
    due: list[tuple[float, ids.RequestId, int]]
    random: random.Random


class EntryRow(typing.NamedTuple):
    """Hold one entry VM, its process and the inputs held during a pause."""

    ref: ids.EntryRef
    domain: ids.DomainId
    region: ids.RegionId
    policy: Policy
    process_state: ProcessState
    started_ms: float
    ended_ms: float
    held_inputs: list[inp.Input]


class Work(typing.NamedTuple):
    """Describe one piece of work; ``demand_ms`` is its service time.

    ``keyed`` work may run only once; ``free_key`` omits the entry's prefix.
    """

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
    """Identify one caller of a failure domain."""

    domain: ids.DomainId
    number: int


class LookUpResult(typing.NamedTuple):
    """Hold a look-up answer and how long the caller waited for it."""

    answer: lookups.LookUpAnswer
    waited_ms: float


class CachedLookUp(typing.NamedTuple):
    """Hold a look-up answer that a caller uses until it expires."""

    answer: lookups.LookUpAnswer
    expires_ms: float


class CallerRow(typing.NamedTuple):
    """Hold a caller's work from its arrival to its completion."""

    work: Work
    answer: lookups.LookUpAnswer
    attempt: int
    key: ids.Key | None
    may_have_run: bool


class CallId(typing.NamedTuple):
    """Identify one request at one incarnation of an entry."""

    ref: ids.EntryRef
    request_id: ids.RequestId


class CallRow(typing.NamedTuple):
    """Map a request at an entry to the work and attempt of its caller."""

    work_id: WorkId
    attempt: int
    key: ids.Key | None


class CompletionRow(typing.NamedTuple):
    """Record the result of a piece of work for its caller.

    ``may_have_run`` says that an earlier call may still have run it.
    """

    work: Work
    verdict: verdict.Verdict
    reason: str
    ended_ms: float
    is_own_answer: bool
    may_have_run: bool


class DispatchId(typing.NamedTuple):
    """Identify one attempt of a request at an upstream."""

    call: CallId
    attempt: int


class DispatchRow(typing.NamedTuple):
    """Hold one attempt sent to an upstream."""

    dispatch: DispatchId
    upstream: ids.UpstreamId
    work: Work
    key: ids.Key | None
    deadline_ms: float


class RunRow(typing.NamedTuple):
    """Record one run of a piece of work at an upstream."""

    work_id: WorkId
    key: ids.Key | None
    upstream: ids.UpstreamId
    entry: ids.EntryId
    started_ms: float
    ended_ms: float | None


class KillRow(typing.NamedTuple):
    """Record a killed entry and how many keyed attempts it had in flight."""

    ref: ids.EntryRef
    killed_ms: float
    in_flight: int


class Condition(enum.Enum):
    """List the conditions of an upstream; a silent one never answers."""

    WELL = 'well'
    LEAVING = 'leaving'
    SILENT = 'silent'
    DEAD = 'dead'


class LoadFault(enum.Enum):
    """List the ways in which an upstream misreports its load."""

    NONE = 'none'
    ZERO = 'zero'
    FROZEN = 'frozen'
    ABSENT = 'absent'


class UpstreamRow(typing.NamedTuple):
    """Hold one upstream with its running and queued attempts.

    ``running`` maps an attempt to the index of its run; the one element
    of ``last_reported`` is the number in flight last reported.
    """

    config: tickets.UpstreamRow
    region: ids.RegionId
    condition: Condition
    load_fault: LoadFault
    cold_until_ms: float
    running: dict[DispatchId, int]
    queue: dict[DispatchId, DispatchRow]
    last_reported: list[int]


class NetworkRow(typing.NamedTuple):
    """Hold the network faults; isolated groups are partitioned off."""

    drop_share: float = 0.0
    duplicate_share: float = 0.0
    reorder_share: float = 0.0
    reorder_max_ms: float = 20.0
    isolated_groups: tuple[frozenset[ids.DomainId], ...] = ()


class StoredObject(typing.NamedTuple):
    """Hold a value of the store and its version."""

    value: bytes
    version: int


class WatchRow(typing.NamedTuple):
    """Hold a pending watch at the store."""

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
    """Hold every table of the fleet, its clock and its pending events.

    ``adopted_ms`` is when an incarnation put a ticket into force,
    ``highest_tickets`` the highest number it had in force, ``filed_ms``
    when a ticket was filed, and ``states`` are by value in the store.
    """

    now_ms: float
    sequence: int
    heap: list[tuple[float, int, object]]
    state: tickets.State
    entries: dict[ids.EntryId, EntryRow]
    wake_times_ms: dict[ids.EntryId, float]
    upstreams: dict[ids.UpstreamId, UpstreamRow]
    network: NetworkRow
    store: StoreRow
    objects: dict[str, StoredObject]
    watches: dict[tuple[ids.EntryRef, int], WatchRow]
    finished_store_calls: set[tuple[ids.EntryRef, int]]
    states: dict[bytes, tickets.State]
    cached_look_ups: dict[CallerName, CachedLookUp]
    works: dict[WorkId, Work]
    callers: dict[WorkId, CallerRow]
    calls: dict[CallId, CallRow]
    completions: list[CompletionRow]
    dispatches: dict[DispatchId, DispatchRow]
    answered_work_ids: dict[DispatchId, WorkId]
    runs: list[RunRow]
    silent_connections: set[tuple[ids.EntryId, ids.UpstreamId]]
    last_outcome_ms: dict[tuple[ids.EntryId, ids.UpstreamId], float]
    adopted_ms: dict[tuple[ids.EntryRef, int], float]
    highest_tickets: dict[ids.EntryRef, int]
    filed_ms: dict[int, float]
    kills: list[KillRow]
    sent_works: set[WorkId]
    counters: collections.Counter[str]
    random: random.Random
    is_baseline: bool = False
    meter: meters.Meter | None = None
