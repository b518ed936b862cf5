"""Define the work, outcomes and state of a caller."""

import collections
import dataclasses
import itertools
import random
import typing

import httpcore


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """Report a complete answer to the caller's own work."""

    status: int
    elapsed_ms: float
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Report a refusal; the work did not run."""

    reason: str
    elapsed_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Report that it is unknown whether the work ran."""

    reason: str
    elapsed_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Crossed:
    """Report an answer to other work than the caller's, or part of one."""

    body: bytes
    elapsed_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """Report a connection that failed before the answer was complete."""

    address: str
    sent: bool


Outcome = Ran | NotRun | MayHaveRun | Crossed


class Work(typing.NamedTuple):
    """Describe one piece of work; ``name`` is unique.

    Keyed work carries an idempotency key: ``key``, or else a new one.
    """

    name: str
    service: str
    rank: str
    keyed: bool
    deadline_ms: float = 10_000.0
    body: bytes = b''
    key: str | None = None


class ChoiceDocument(typing.TypedDict):
    """Describe an entry that the caller may use."""

    entry: str
    domain: str
    address: str
    key_prefix: str


class LookUpDocument(typing.TypedDict):
    """Hold the answer to a look-up."""

    choices: list[ChoiceDocument]
    lifetime_ms: float


class Timeouts(typing.TypedDict):
    """Limit the steps of one call, in seconds."""

    connect: float
    read: float
    write: float


class LookUpRow(typing.NamedTuple):
    """Hold the answer to a look-up and when it expires."""

    document: LookUpDocument
    expires_ms: float


@dataclasses.dataclass(slots=True)
class Caller:
    """Hold a caller's cached look-ups and the counts of its outcomes."""

    domain: str
    seeds: list[str]
    pool: httpcore.AsyncConnectionPool
    random: random.Random
    look_ups: dict[str, LookUpRow]
    unavailable: set[str]
    nonce_numbers: 'itertools.count[int]'
    outcomes: 'collections.Counter[str]'


def new_caller(
    domain: str,
    seeds: list[str],
    pool: httpcore.AsyncConnectionPool,
    seed: int = 1,
) -> Caller:
    """Return a caller that starts from the addresses of some entries."""
    return Caller(
        domain=domain,
        seeds=list(seeds),
        pool=pool,
        random=random.Random(f'{seed}/{domain}'),
        look_ups={},
        unavailable=set(),
        nonce_numbers=itertools.count(1),
        outcomes=collections.Counter(),
    )
