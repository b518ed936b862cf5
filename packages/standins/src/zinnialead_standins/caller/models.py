"""Define what a caller holds."""

import collections
import dataclasses
import itertools
import random
import typing

import httpcore


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """Report a whole answer to the caller's own work."""

    status: int
    elapsed_ms: float
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Report a refusal that says that the work did not run."""

    reason: str
    elapsed_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Report that nobody can say whether the work ran."""

    reason: str
    elapsed_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Crossed:
    """Report an answer to somebody else's work, or only part of one."""

    body: bytes
    elapsed_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """Report a connection that ended before the answer did."""

    address: str
    sent: bool


Outcome = Ran | NotRun | MayHaveRun | Crossed


class Work(typing.NamedTuple):
    """Describe one piece of work; ``name`` is unique."""

    name: str
    service: str
    rank: str
    keyed: bool
    deadline_ms: float = 10_000.0
    body: bytes = b''
    key: str | None = None


class ChoiceDocument(typing.TypedDict):
    """Name one entry that may be used."""

    entry: str
    domain: str
    address: str
    key_prefix: str


class LookUpDocument(typing.TypedDict):
    """Hold the answer of a look-up."""

    choices: list[ChoiceDocument]
    lifetime_ms: float


class Timeouts(typing.TypedDict):
    """Bound the steps of one call in seconds."""

    connect: float
    read: float
    write: float


class CachedRow(typing.NamedTuple):
    """Hold a look-up's answer until it expires."""

    document: LookUpDocument
    expires_ms: float


@dataclasses.dataclass(slots=True)
class Caller:
    """Hold a caller's cached answers, and what it saw."""

    domain: str
    seeds: list[str]
    pool: httpcore.AsyncConnectionPool
    random: random.Random
    cached: dict[str, CachedRow]
    dead: set[str]
    numbers: 'itertools.count[int]'
    outcomes: 'collections.Counter[str]'


def new_caller(
    domain: str,
    seeds: list[str],
    pool: httpcore.AsyncConnectionPool,
    seed: int = 1,
) -> Caller:
    """Return a caller that knows some entries' addresses."""
    return Caller(
        domain=domain,
        seeds=list(seeds),
        pool=pool,
        random=random.Random(f'{seed}/{domain}'),
        cached={},
        dead=set(),
        numbers=itertools.count(1),
        outcomes=collections.Counter(),
    )
