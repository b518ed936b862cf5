"""Define the tables of the keys component and a claim's answers."""

import collections
import dataclasses
import enum
import typing

from zinnialead_core.components import store
from zinnialead_core import ids
from zinnialead_core import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """Mark a key as claimed; ``holder`` may run its work or is running it."""

    holder: ids.AskId


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """Mark work as answered; ``record`` is the answer to replay."""

    status: int
    record: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """Mark work as sent, with an unknown outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class Barred:
    """Mark a key under which nothing ran and nothing ever will."""


@dataclasses.dataclass(frozen=True, slots=True)
class Free:
    """Mark a key as unclaimed: all claims were released, nothing ran."""


KeyState = Claimed | Ended | Undecided | Barred | Free
# How a claim ended; None releases it, because nothing ran.
KeyEnd = Ended | Undecided | Barred | None


class RegistrationRow(typing.NamedTuple):
    """Hold a registrar's record of one key.

    ``released`` has the latest released claims, so that a late duplicate
    of an ask can't claim the key again.  ``waiters`` are claims that get
    an answer when the holder's claim ends.
    """

    key: ids.Key
    state: KeyState
    expires_ms: float
    released: tuple[ids.AskId, ...] = ()
    waiters: tuple[ids.AskId, ...] = ()


class RegistrationTable(typing.NamedTuple):
    """Hold the registrations and the indexes that keep them bounded.

    ``expiry_buckets`` lists keys by the period in which they expire;
    ``with_record`` lists the keys with a recorded answer, oldest first;
    ``awaited`` has the keys with waiters, and ``free`` the released ones.
    ``record_bytes`` has one item, the size of all recorded answers.
    """

    rows: dict[ids.Key, RegistrationRow]
    expiry_buckets: dict[int, list[ids.Key]]
    with_record: collections.deque[ids.Key]
    record_bytes: list[int]
    awaited: dict[ids.Key, None]
    free: dict[ids.Key, None]


class Step(enum.IntEnum):
    """Name what a claim waits for.

    BIND: a free key's binding.  HOME: the home's grant.  HOME_GRANTED: a
    slot for the work.  WITNESS: the witness's grant.  CONFIRMED: the end
    of the work.  BAR: the witness's bar, asked for when the home failed.
    END: confirmations of the end, then a late outcome of undecided work.
    """

    BIND = 0
    HOME = 1
    WITNESS = 2
    BAR = 3
    CONFIRMED = 4
    HOME_GRANTED = 6
    END = 5


class ClaimRow(typing.NamedTuple):
    """Hold a claim for one of this entry's requests.

    ``registrars`` are the home and the witness, if there is one; ``tries``
    counts the messages sent in this step.  ``waiting`` is set while another
    copy is in progress.  ``sequence`` numbers the reports of ``end``, and
    ``unacked`` are the registrars that have not confirmed it yet.
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
    """Return whether a registrar has yet to confirm the claim's end."""
    return claim.step is not Step.END or bool(claim.unacked)


ClaimTable = dict[ids.RequestId, ClaimRow]


class ShardRow(typing.NamedTuple):
    """Cache one shard of the store's bindings from free to issued keys.

    A binding never changes before it expires, so outdated ``rows`` can
    lack bindings but not be wrong.  ``is_loaded`` tells whether
    ``version`` is current enough to write in the store's ``era``;
    ``waiting`` has the requests that wait for a binding.  ``mark`` is set
    after a restore of the store, ``is_unsaved`` if it lacks known rows, and
    ``is_writing`` while the open call is a write.
    """

    rows: dict[ids.Key, ids.Key]
    is_loaded: bool
    version: int | None
    call_id: int | None
    call_timeout_ms: float
    waiting: tuple[ids.RequestId, ...]
    era: int = 0
    mark: store.ShardMark | None = None
    is_unsaved: bool = False
    is_writing: bool = False


BindingTable = dict[int, ShardRow]


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Grant a claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Make a claim wait: another copy is in progress; its end is reported."""


@dataclasses.dataclass(frozen=True, slots=True)
class Freed:
    """Invite another ask, because the copy in progress did not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRegistrar:
    """Reject an ask: this incarnation is not a registrar of the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Recorded:
    """Deny a claim because the work was answered, as recorded."""

    status: int
    record: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """Deny a claim with a refusal."""

    refusal: verdict.Refusal


Denial = Recorded | Denied
Answer = Granted | Waiting | Freed | NotRegistrar | Recorded | Denied


def new_claims() -> ClaimTable:
    """Return a table without claims."""
    return {}


def new_bindings() -> BindingTable:
    """Return a table without shards."""
    return {}


def new_registrations() -> RegistrationTable:
    """Return a table without registrations."""
    return RegistrationTable({}, {}, collections.deque(), [0], {}, {})


def denied(
    run_verdict: verdict.Verdict, reason: verdict.Reason, detail: str
) -> Denied:
    """Return a denial that carries a refusal for the caller."""
    return Denied(verdict.Refusal(run_verdict, reason, detail))


def is_same_or_older(ref: ids.EntryRef, lost: ids.EntryRef) -> bool:
    """Return whether ``ref`` is the lost incarnation or an older one.

    >>> is_same_or_older(ids.EntryRef('e', 1), ids.EntryRef('e', 2))
    True
    """
    return ref.entry == lost.entry and ref.incarnation <= lost.incarnation
