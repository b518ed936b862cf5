"""Define the rows of the keys tables."""

import collections
import dataclasses
import enum
import typing

from zinnialead_core import ids
from zinnialead_core import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """Say that ``holder`` may run the work, or is running it."""

    holder: ids.AskId


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """Say how the work ended; ``record`` is the answer to replay."""

    status: int
    record: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """Say that the work was sent and its end is not known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Barred:
    """Say that nothing ran under the key and nothing ever will."""


@dataclasses.dataclass(frozen=True, slots=True)
class Free:
    """Say that every claim so far was released and nothing ran."""


KeyState = Claimed | Ended | Undecided | Barred | Free
# How a claim ends; None releases it, since nothing ran.
KeyEnd = Ended | Undecided | Barred | None


class RegistrationRow(typing.NamedTuple):
    """Hold what a registrar knows of one key.

    ``released`` names claims that are over, so that a late duplicate of
    their asks can't claim the key again.
    """

    key: ids.Key
    state: KeyState
    expires_ms: float
    released: tuple[ids.AskId, ...] = ()
    waiters: tuple[ids.AskId, ...] = ()


class RegistrationTable(typing.NamedTuple):
    """Hold the registrations, and what bounds them.

    ``buckets`` lists keys by the period in which they expire; ``recorded``
    lists the keys with a recorded answer, oldest first; ``waited`` names
    the keys with waiters, and ``free`` the released ones.
    """

    rows: dict[ids.Key, RegistrationRow]
    buckets: dict[int, list[ids.Key]]
    recorded: collections.deque[ids.Key]
    recorded_bytes: list[int]
    waited: dict[ids.Key, None]
    free: dict[ids.Key, None]


class Step(enum.IntEnum):
    """Say what a claim waits for."""

    BIND = 0
    HOME = 1
    WITNESS = 2
    BAR = 3
    HELD = 4
    END = 5


class ClaimRow(typing.NamedTuple):
    """Hold a claim that this entry makes for a request of its own.

    ``registrars`` are the home and, where there is one, the witness.
    ``unacked`` are those that have not confirmed ``end`` yet.
    """

    request_id: ids.RequestId
    key: ids.Key
    created_ms: float | None
    deadline_ms: float
    registrars: tuple[ids.EntryRef, ...] = ()
    step: Step = Step.BIND
    tries: int = 0
    waiting: bool = False
    end: KeyEnd = None
    sequence: int = 0
    unacked: tuple[ids.EntryRef, ...] = ()


def is_open(claim: ClaimRow) -> bool:
    """Say whether a registrar still has to confirm the claim's end."""
    return claim.step is not Step.END or bool(claim.unacked)


ClaimTable = dict[ids.RequestId, ClaimRow]


class ShardRow(typing.NamedTuple):
    """Hold what is known of one shard of the bindings of free keys.

    A binding never changes before it expires, so an old copy of ``rows``
    can lack bindings but not be wrong. ``known`` says whether ``version``
    was read; ``waiting`` names the requests that wait for a binding.
    """

    rows: dict[ids.Key, ids.Key]
    known: bool
    version: int | None
    call_id: int | None
    call_ends_ms: float
    waiting: tuple[ids.RequestId, ...]


BindingTable = dict[int, ShardRow]


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Grant a claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Say that another copy is in progress and its end will be told."""


@dataclasses.dataclass(frozen=True, slots=True)
class Freed:
    """Say that the other copy did not run, so it is worth asking again."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRegistrar:
    """Say that this run of the entry is no registrar of the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Recorded:
    """Deny a claim, since the key's work has its answer already."""

    status: int
    record: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """Deny a claim for another reason."""

    refusal: verdict.Refusal


Denial = Recorded | Denied
Answer = Granted | Waiting | Freed | NotRegistrar | Recorded | Denied


def new_claims() -> ClaimTable:
    """Return a table without claims."""
    return {}


def new_bindings() -> BindingTable:
    """Return a table that knows no shard."""
    return {}


def new_registrations() -> RegistrationTable:
    """Return a table without registrations."""
    return RegistrationTable({}, {}, collections.deque(), [0], {}, {})


def denied(
    known: verdict.Verdict, reason: verdict.Reason, detail: str
) -> Denied:
    """Return a denial with the refusal that the caller gets."""
    return Denied(verdict.Refusal(known, reason, detail))


def is_over(ref: ids.EntryRef, lost: ids.EntryRef) -> bool:
    """Say whether ``ref`` names the lost run of an entry or an older one.

    >>> is_over(ids.EntryRef('e', 1), ids.EntryRef('e', 2))
    True
    """
    return ref.entry == lost.entry and ref.incarnation <= lost.incarnation
