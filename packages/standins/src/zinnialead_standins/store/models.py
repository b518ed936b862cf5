"""Define what the store stand-in holds."""

import collections
import dataclasses
import typing

import trio


@dataclasses.dataclass(frozen=True, slots=True)
class Up:
    """Answer each call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Down:
    """Answer no call but with 503."""


@dataclasses.dataclass(frozen=True, slots=True)
class Slow:
    """Answer each call late."""

    delay_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class LosesAnswers:
    """Take each write into effect and lose its answer."""


Condition = Up | Down | Slow | LosesAnswers


class ObjectRow(typing.NamedTuple):
    """Hold one object, its value as it was written."""

    name: str
    version: int
    spec: object


class VmDocument(typing.TypedDict):
    """Show one VM of the list."""

    entry: str
    domain: str
    address: str
    leaving: bool


class MetadataDocument(typing.TypedDict, total=False):
    """Hold an object's name and version."""

    name: str
    resourceVersion: str


class ObjectDocument(typing.TypedDict):
    """Hold an object as it is read and written."""

    metadata: typing.NotRequired[MetadataDocument]
    spec: object


@dataclasses.dataclass(slots=True)
class Store:
    """Hold the objects, the VMs and the condition of the store."""

    objects: dict[str, ObjectRow]
    vms: list[VmDocument]
    version: int
    oldest_version: int
    changed: trio.Event
    calls: collections.Counter[str]
    condition: Condition = Up()


def new_store() -> Store:
    """Return a store without objects."""
    return Store({}, [], 0, 0, trio.Event(), collections.Counter())
