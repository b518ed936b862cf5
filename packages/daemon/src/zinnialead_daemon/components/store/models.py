"""Define the store's client, its questions and answers."""

import dataclasses
import typing

import httpcore
import trio

from zinnialead_daemon.components.engine import models as engine_models


class VmDocument(typing.TypedDict):
    """Hold what the platform says of one VM."""

    domain: str
    address: str
    leaving: typing.NotRequired[bool]


class Request(typing.NamedTuple):
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
    address_index: int = 0
    open_calls: int = 0
