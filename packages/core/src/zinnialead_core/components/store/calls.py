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
    """Wait for a version of an object newer than ``version``."""

    name: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Create:
    """Write an object that must not exist yet."""

    name: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Write an object that must still be at ``version``."""

    name: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListVms:
    """Read a page of the platform's list of VMs, after a name."""

    name: str = 'vms'
    after: str = ''


class BindingRow(typing.NamedTuple):
    """Bind a key that a caller chose to an issued one."""

    key: ids.Key
    issued: ids.Key


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBindings:
    """Read one shard of the bindings of keys."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteBindings:
    """Write a shard that must be at ``version``, or absent for None."""

    name: str
    rows: tuple[BindingRow, ...]
    version: int | None


Call = Read | Watch | Create | Update | ListVms | ReadBindings | WriteBindings


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """Report an object as read, watched or written."""

    name: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class FoundBindings:
    """Report a shard of the bindings as read or written."""

    name: str
    rows: tuple[BindingRow, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """Report that the object does not exist."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """Report that a watch ended without a newer version."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """Report that VMs were listed, each as a ``PeerSeen``.

    The next page begins after ``next_after``; the last one has none.
    """

    name: str = 'vms'
    next_after: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Report that the object is at another version: nothing written."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class TooOld:
    """Report that the store no longer knows the watch's version."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report that the store shed the call: nothing was written."""

    name: str
    retry_after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Report a call without an answer; a write may have taken effect."""

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
