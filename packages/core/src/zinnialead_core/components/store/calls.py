"""Define the calls to the platform's store and their results."""

import dataclasses
import typing

from zinnialead_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read one object."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Wait for an object to get a version newer than ``version``."""

    name: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Create:
    """Create an object that must not exist yet."""

    name: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Replace an object that must still be at ``version``."""

    name: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListVms:
    """Read the page of the platform's list of VMs that follows ``after``."""

    name: str = 'vms'
    after: str = ''


class BindingRow(typing.NamedTuple):
    """Map a key that a caller chose to the key issued for it."""

    key: ids.Key
    issued: ids.Key


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBindings:
    """Read one shard of the key bindings."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteBindings:
    """Write a shard that must be at ``version``, or must not exist if None."""

    name: str
    rows: tuple[BindingRow, ...]
    version: int | None


Call = Read | Watch | Create | Update | ListVms | ReadBindings | WriteBindings


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """Report an object after it was read, watched or written."""

    name: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class FoundBindings:
    """Report a shard of bindings after it was read or written."""

    name: str
    rows: tuple[BindingRow, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """Report that the object does not exist."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """Report that a watch ended without a newer version.

    Other objects have changed up to ``version``, none if it is 0.
    """

    name: str
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """Report that a page of VMs was read; each VM arrives as a ``PeerSeen``.

    The next page begins after ``next_after``, empty for the last page.
    """

    name: str = 'vms'
    next_after: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Report that nothing was written: the object has another version."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class TooOld:
    """Report that the store no longer has the version of the watch."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report that the store shed the call and wrote nothing."""

    name: str
    retry_after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Report that a call got no answer; a write may have taken effect."""

    name: str
    detail: str


Result = (
    Found
    | FoundBindings
    | Missing
    | Unchanged
    | Listed
    | Conflict
    | TooOld
    | Refused
    | Failed
)
