"""Define the store's client and the documents that it reads."""

import dataclasses
import typing

import httpcore
import msgspec
import trio

from zinnialead_daemon.components.engine import models as engine_models


class MetadataDocument(typing.TypedDict):
    """Hold an object's version."""

    resourceVersion: str  # noqa: N815 (the API's spelling)


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectDocument:
    """Hold an object as the store answers it.

    msgspec keeps a value as it was sent in data classes only.
    """

    metadata: MetadataDocument
    spec: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class EventDocument:
    """Hold the event that ends a watch."""

    object: ObjectDocument


class VmDocument(typing.TypedDict):
    """Hold one VM of the list."""

    entry: str
    domain: str
    address: str
    leaving: typing.NotRequired[bool]


class VmsDocument(typing.TypedDict):
    """Hold the list of VMs."""

    items: list[VmDocument]


class Question(typing.NamedTuple):
    """Hold one HTTP request."""

    method: str
    path: str
    body: bytes | None = None


class Answer(typing.NamedTuple):
    """Hold one whole HTTP answer."""

    status: int
    body: bytes
    retry_after_s: float


@dataclasses.dataclass(slots=True)
class Client:
    """Hold the connections to the store, whose addresses take turns."""

    engine: engine_models.Engine
    nursery: trio.Nursery
    addresses: tuple[str, ...]
    pool: httpcore.AsyncConnectionPool
    turn: int = 0
    open_calls: int = 0
