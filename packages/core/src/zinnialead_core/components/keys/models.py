"""Define the rows of the keys tables."""

import dataclasses
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
    """Say that the work was sent and its end will never be known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Barred:
    """Say that nothing ran under the key and nothing ever will."""


KeyState = Claimed | Ended | Undecided | Barred


class RegistrationRow(typing.NamedTuple):
    """Hold what a registrar knows of one key."""

    key: ids.Key
    state: KeyState
    expires_ms: float


class ClaimRow(typing.NamedTuple):
    """Hold a claim that this entry makes for a request of its own."""

    request_id: ids.RequestId
    key: ids.Key
    created_ms: float | None
    deadline_ms: float
    registrars: tuple[ids.EntryRef, ...]
    step: int


RegistrationTable = dict[ids.Key, RegistrationRow]
ClaimTable = dict[ids.RequestId, ClaimRow]


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Grant a claim."""


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


def new_claims() -> ClaimTable:
    """Return a table without claims."""
    return {}


def new_registrations() -> RegistrationTable:
    """Return a table without registrations."""
    return {}
