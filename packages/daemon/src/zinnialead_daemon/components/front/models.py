"""Define what the front holds of each caller's request."""

import dataclasses
import itertools
import typing

import trio

from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon import http


class UpstreamAnswer(typing.NamedTuple):
    """Hold one whole answer of an upstream."""

    status: int
    headers: http.Headers
    body: bytes


@dataclasses.dataclass(slots=True)
class Exchange:
    """Hold one caller's request and what becomes of it."""

    method: str
    path: str
    headers: http.Headers
    body: bytes
    decided: trio.Event
    decision: out.Relay | out.Replay | out.Refuse | None = None
    answers: dict[int, UpstreamAnswer] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Front:
    """Hold the exchanges in hand by request."""

    engine: engine_models.Engine
    exchanges: dict[ids.RequestId, Exchange]
    numbers: 'itertools.count[int]'


def new_front(engine: engine_models.Engine) -> Front:
    """Return a front without exchanges."""
    return Front(engine, {}, itertools.count(1))
