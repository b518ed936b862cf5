"""Define the store client, its HTTP requests and answers."""

import dataclasses
import typing

import httpcore
import trio

from zinnialead_core.components import store
from zinnialead_daemon.components.engine import models as engine_models


class VmDocument(typing.TypedDict):
    """Define what the platform stores about a VM."""

    domain: str
    address: str
    leaving: typing.NotRequired[bool]


class BindingsDocument(typing.TypedDict):
    """Define a shard of bindings that was marked after a restore."""

    era: int
    complete_from_ms: float
    rows: tuple[store.BindingRow, ...]


class Request(typing.NamedTuple):
    """Hold an HTTP request to the store."""

    method: str
    path: str
    body: bytes | None = None


class Answer(typing.NamedTuple):
    """Hold a complete HTTP response of the store.

    ``era`` is 0 if the response does not tell it.
    """

    status: int
    body: bytes
    retry_after_s: float
    era: int = 0


@dataclasses.dataclass(slots=True)
class Client:
    """Hold the connections to the store.

    ``address_index``, modulo the number of addresses, selects the address
    in use; it grows by one at each failed call.
    """

    engine: engine_models.Engine
    nursery: trio.Nursery
    addresses: tuple[str, ...]
    pool: httpcore.AsyncConnectionPool
    address_index: int = 0
    open_calls: int = 0
