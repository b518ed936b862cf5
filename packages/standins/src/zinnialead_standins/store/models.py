"""Define what the store stand-in holds."""

import collections
import dataclasses
import typing

import trio

from zinnialead_standins.store import const


@dataclasses.dataclass(frozen=True, slots=True)
class Up:
    """Answer each call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Down:
    """Answer no call but with 503."""


@dataclasses.dataclass(frozen=True, slots=True)
class Busy:
    """Answer no call but with 429."""


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """Answer no call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Slow:
    """Answer each call late."""

    delay_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class LosesAnswers:
    """Take each write into effect and lose its answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class WithholdsEvents:
    """Let no watch see a change."""


Condition = Up | Down | Busy | Silent | Slow | LosesAnswers | WithholdsEvents


class MetadataDocument(typing.TypedDict):
    """Hold an object's name and the revision of its last change."""

    name: str
    rev: int


class ObjectDocument(typing.TypedDict):
    """Hold an object as it is read."""

    metadata: MetadataDocument
    spec: object


class EventRow(typing.NamedTuple):
    """Hold one change of an object."""

    revision: int
    kind: str
    item: ObjectDocument
    is_gone: bool


class Reply(typing.NamedTuple):
    """Hold one answer."""

    status: int
    body: bytes = b''


@dataclasses.dataclass(slots=True)
class Store:
    """Hold the objects by kind, their changes, and the store's condition."""

    objects: collections.defaultdict[str, dict[str, ObjectDocument]]
    events: list[EventRow]
    revision: int
    oldest_revision: int
    changed: trio.Event
    calls: collections.Counter[str]
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
