"""Define what the front holds of each caller's request."""

import collections
import dataclasses
import itertools
import typing

import trio

from zinnialead_config.settings import models as settings
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.front import const
from zinnialead_daemon import http

DEFAULT_BOUNDS = settings.Bounds()
Decision = out.Relay | out.Replay | out.Refuse


class RequestHead(typing.NamedTuple):
    """Hold what a request says before its body."""

    method: bytes
    service: ids.ServiceId
    target: bytes
    rank: ids.RankId | None
    left_ms: float
    key: ids.Key | None
    key_created_ms: float | None
    length_bytes: int | None
    headers: http.Headers


class Chunk(typing.NamedTuple):
    """Hold one part of a body; a body without a ``last`` one was cut."""

    data: bytes
    is_last: bool


class UpstreamAnswer(typing.NamedTuple):
    """Hold an upstream's answer; ``rest`` brings what is still to come."""

    status: int
    headers: http.Headers
    body: bytes
    rest_receiver: 'trio.MemoryReceiveChannel[Chunk] | None' = None


@dataclasses.dataclass(slots=True)
class Exchange:
    """Hold one caller's request and what becomes of it."""

    request_id: ids.RequestId
    head: RequestHead
    body_ready: trio.Event
    decided: trio.Event
    rest_sender: 'trio.MemorySendChannel[Chunk]'
    rest_receiver: 'trio.MemoryReceiveChannel[Chunk]'
    body_max_bytes: int
    body: bytes = b''
    is_complete: bool = False
    disconnected: bool = False
    body_too_large: bool = False
    decision: Decision | None = None
    answers: dict[int, UpstreamAnswer] = dataclasses.field(
        default_factory=dict
    )


class TimingRow(typing.NamedTuple):
    """Say how long one request took, from its arrival to its answer."""

    rank: str
    elapsed_ms: float


@dataclasses.dataclass(slots=True)
class Front:
    """Hold the exchanges in hand by request."""

    engine: engine_models.Engine
    exchanges: dict[ids.RequestId, Exchange]
    request_ids: 'itertools.count[int]'
    idle: trio.Event
    bounds: settings.Bounds
    timings: 'collections.deque[TimingRow]'


def new_front(
    engine: engine_models.Engine,
    bounds: settings.Bounds = DEFAULT_BOUNDS,
) -> Front:
    """Return a front without exchanges."""
    idle = trio.Event()
    idle.set()
    timings: collections.deque[TimingRow] = collections.deque(
        maxlen=const.TIMINGS_MAX
    )
    return Front(engine, {}, itertools.count(1), idle, bounds, timings)
