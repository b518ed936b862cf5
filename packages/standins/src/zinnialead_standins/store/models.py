"""Define the objects and conditions of the store stand-in."""

import collections
import dataclasses
import typing

import trio

from zinnialead_standins.store import const


@dataclasses.dataclass(frozen=True, slots=True)
class Up:
    """Answer every call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Down:
    """Answer every call with 503."""


@dataclasses.dataclass(frozen=True, slots=True)
class Busy:
    """Answer every call with 429."""


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """Leave every call without an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Slow:
    """Answer every call after a delay."""

    delay_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class LosesAnswers:
    """Apply every write and lose the reply."""


@dataclasses.dataclass(frozen=True, slots=True)
class WithholdsEvents:
    """Withhold changes from watches until the condition ends."""


Condition = Up | Down | Busy | Silent | Slow | LosesAnswers | WithholdsEvents


class MetadataDocument(typing.TypedDict):
    """Hold an object's name and the revision of its last change."""

    name: str
    rev: int


class ObjectDocument(typing.TypedDict):
    """Hold an object in the form of the API."""

    metadata: MetadataDocument
    spec: object


class EventRow(typing.NamedTuple):
    """Hold one change of an object."""

    revision: int
    kind: str
    document: ObjectDocument
    is_removed: bool


class Reply(typing.NamedTuple):
    """Hold the status and body of one reply, and the era that it tells."""

    status: int
    body: bytes = b''
    era: int = 0


class Copy(typing.NamedTuple):
    """Hold the objects, history and revision of a store at one moment."""

    objects: dict[str, dict[str, ObjectDocument]]
    events: tuple[EventRow, ...]
    revision: int
    oldest_revision: int


@dataclasses.dataclass(slots=True)
class Store:
    """Hold the objects by kind, their changes, and the store's condition.

    ``era`` rises by one each time that the store is restored from a copy.
    """

    objects: collections.defaultdict[str, dict[str, ObjectDocument]]
    events: list[EventRow]
    revision: int
    oldest_revision: int
    changed: trio.Event
    calls: collections.Counter[str]
    era: int = const.FIRST_ERA
    condition: Condition = Up()


def new_store() -> Store:
    """Return a store without objects."""
    return Store(
        collections.defaultdict(dict),
        [],
        const.FIRST_REVISION,
        0,
        trio.Event(),
        collections.Counter(),
    )
