"""Define the connection pools and the attempts in flight."""

import dataclasses
import typing

import httpcore
import trio

from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.front import models as front_models


class AttemptId(typing.NamedTuple):
    """Identify one attempt of a request."""

    request_id: ids.RequestId
    attempt: int


@dataclasses.dataclass(slots=True)
class Attempt:
    """Hold one attempt in flight.

    ``wire_id`` identifies it to the upstream. ``sent`` is set once a byte
    may have been sent, and ``never_started`` once the upstream has promised
    not to run the work.
    """

    dispatch: out.Dispatch
    wire_id: bytes
    scope: trio.CancelScope
    sent: bool = False
    never_started: bool = False
    answer_bytes: int = 0


@dataclasses.dataclass(slots=True)
class Pools:
    """Hold a pool per upstream address, one for polls, one for cancels."""

    engine: engine_models.Engine
    front: front_models.Front
    by_address: dict[str, httpcore.AsyncConnectionPool]
    poll_pool: httpcore.AsyncConnectionPool
    cancel_pool: httpcore.AsyncConnectionPool
    attempts: dict[AttemptId, Attempt]


class LoadDocument(typing.TypedDict, total=False):
    """Define the load that an upstream reports."""

    in_flight: int
    leaving: bool
