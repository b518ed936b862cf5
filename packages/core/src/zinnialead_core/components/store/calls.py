"""Define the calls to the platform's store and their results."""

import dataclasses
import typing

from zinnialead_core.components import tickets
from zinnialead_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read one object."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLatest:
    """Read one object and the store's revision, to watch it from there."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class WriteState:
    """Write a state that the store has lost in a restore.

    The object must be at ``version``, or must not exist if None.
    """

    name: str
    state: tickets.State
    version: int | None


class BindingRow(typing.NamedTuple):
    """Map a key that a caller chose to the key issued for it."""

    key: ids.Key
    issued: ids.Key


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBindings:
    """Read one shard of the key bindings."""

    name: str


class ShardMark(typing.NamedTuple):
    """Tell since when a shard has every binding, after a restore.

    ``era`` is the first in which it is known; the store may have lost
    bindings of keys that were made before ``complete_from_ms``.
    """

    era: int
    complete_from_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class WriteBindings:
    """Write a shard that must be at ``version``, or must not exist if None."""

    name: str
    rows: tuple[BindingRow, ...]
    version: int | None
    mark: ShardMark | None = None


Call = (
    Read
    | ReadLatest
    | Watch
    | Create
    | Update
    | ListVms
    | WriteState
    | ReadBindings
    | WriteBindings
)


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """Report an object after it was read, watched or written.

    ``position`` is the store's revision at that time, 0 if it is unknown.
    """

    name: str
    value: bytes
    version: int
    position: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FoundBindings:
    """Report a shard of bindings after it was read or written."""

    name: str
    rows: tuple[BindingRow, ...]
    version: int
    mark: ShardMark | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """Report that the object does not exist at the ``position``."""

    name: str
    position: int = 0


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
