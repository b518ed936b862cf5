"""Define the rows of the store table, its calls and their results."""

import dataclasses
import enum
import typing

from zinnialead_core.gateway.entries import models as entries


class Kind(enum.StrEnum):
    """Name the kinds of objects that an entry reads."""

    CONFIGURATION = 'configuration'
    DRAINS = 'drains'
    UPSTREAMS = 'upstreams'
    ENTRIES = 'entries'


class WatchRow(typing.NamedTuple):
    """Hold how far a kind of objects is known.

    ``revision`` is where the next watch begins, None where a list is due,
    and ``gathered`` holds the pages read so far.  ``latest`` is the revision
    of the last change that is known, ``seen`` that up to which every change
    is known, None until a whole list was read or heard, and ``number`` that
    of the call that counts.  ``is_wanted`` asks for a list in any case.
    """

    kind: Kind
    revision: int | None = None
    after: str | None = None
    gathered: tuple[object, ...] = ()
    failures: int = 0
    latest: int = 0
    number: int = 0
    seen: int | None = None
    is_wanted: bool = False
    read_ms: float = 0.0


def anew(row: WatchRow) -> WatchRow:
    """Return the row of a kind that is to be read whole again."""
    return row._replace(revision=None, after=None, gathered=())


def known_revision(row: WatchRow) -> int:
    """Return the revision up to which a kind is known."""
    return max(row.latest, row.seen or 0)


class Remedy(enum.Enum):
    """Name what an entry does about a change that only others know."""

    WAIT = 'wait'
    ASK = 'ask the other entry'
    READ = 'read the store'


class HealthRow(typing.NamedTuple):
    """Hold whether the store answers, and since when it has settled.

    ``begun_ms`` is when this entry began to read, and ``failed_ms`` when a
    call of its own failed last.
    """

    in_touch: bool = False
    settled_ms: float = 0.0
    lost_ms: float | None = None
    begun_ms: float = 0.0
    failed_ms: float = float('-inf')


class BehindRow(typing.NamedTuple):
    """Hold since when another entry knows a later revision of a kind."""

    since_ms: float
    latest: int


class StoreTable(typing.NamedTuple):
    """Hold the watches, the one health row, and what others know later.

    ``compared_ms`` is when all that is known was last compared.
    """

    watches: dict[Kind, WatchRow]
    health: dict[str, HealthRow]
    behind: dict[Kind, BehindRow]
    asked_ms: dict[Kind, float]
    compared_ms: dict[str, float]


STORE = 'store'


def new_table() -> StoreTable:
    """Return a table that has read nothing."""
    watches = {kind: WatchRow(kind) for kind in Kind}
    return StoreTable(watches, {STORE: HealthRow()}, {}, {}, {})


def settled_ms(table: StoreTable) -> float:
    """Return since when what is missing in the store is truly gone."""
    return table.health[STORE].settled_ms


def in_touch(table: StoreTable) -> bool:
    """Return whether the last call to the store was answered."""
    return table.health[STORE].in_touch


@dataclasses.dataclass(frozen=True, slots=True)
class ListKind:
    """Read a page of a kind's objects, after a name."""

    kind: Kind
    after: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class WatchKind:
    """Wait for changes of a kind's objects since a revision."""

    kind: Kind
    revision: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RegisterEntry:
    """Create or replace this entry's registration."""

    row: entries.EntryRow


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveEntry:
    """Remove an entry's registration if it is still at its revision."""

    row: entries.EntryRow


Call = ListKind | WatchKind | RegisterEntry | RemoveEntry


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """Give a page of objects as inputs for the core.

    ``latest`` is the highest revision of an object of the page.
    """

    items: tuple[object, ...]
    next_after: str | None
    revision: int
    latest: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """Give changes as inputs for the core, and the revision after them.

    ``latest`` is the revision of the last of the changes.
    """

    items: tuple[object, ...]
    revision: int
    latest: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """Say that the changes since the revision are not known any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """Say that a write took effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Say that a write found another revision and did nothing.

    ``found`` is what stands there, None if it can't be read.
    """

    found: entries.EntryRow | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Say that the store did nothing, and when to ask again."""

    retry_after_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Say that there was no answer: a write may have taken effect."""

    detail: str


Result = Listed | Changed | HistoryGone | Written | Conflict | Refused | Failed
