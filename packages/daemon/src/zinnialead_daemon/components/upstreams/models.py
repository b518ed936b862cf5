"""Define the connection pools of an entry."""

import dataclasses
import typing

import httpcore
import trio

from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.front import models as front_models


class AttemptId(typing.NamedTuple):
    """Name one attempt of one request."""

    request_id: ids.RequestId
    attempt: int


@dataclasses.dataclass(slots=True)
class Attempt:
    """Hold one attempt in flight.

    ``sent`` is set once a byte may have left, and ``never_started`` once
    the upstream has promised that the work will not run.
    """

    dispatch: out.Dispatch
    wire_id: bytes
    scope: trio.CancelScope
    sent: bool = False
    never_started: bool = False
    answer_bytes: int = 0


@dataclasses.dataclass(slots=True)
class Pools:
    """Hold one connection pool for each upstream's address."""

    engine: engine_models.Engine
    front: front_models.Front
    by_address: dict[str, httpcore.AsyncConnectionPool]
    poll_pool: httpcore.AsyncConnectionPool
    attempts: dict[AttemptId, Attempt]


class LoadDocument(typing.TypedDict, total=False):
    """Hold what an upstream says of its load."""

    in_flight: int
    leaving: bool
