"""Define the state of callers' requests."""

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
    """Hold the parsed request line and headers."""

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
    """Hold one part of a body.

    A body that ends without an ``is_last`` chunk is incomplete.
    """

    data: bytes
    is_last: bool


class UpstreamAnswer(typing.NamedTuple):
    """Hold an upstream's response.

    ``rest_receiver`` delivers the part of a large body after ``body``.
    """

    status: int
    headers: http.Headers
    body: bytes
    rest_receiver: 'trio.MemoryReceiveChannel[Chunk] | None' = None


@dataclasses.dataclass(slots=True)
class Exchange:
    """Hold the state of one caller's request, from its head to its answer.

    ``body_ready`` is set once ``body`` is complete or its buffer is full;
    in the latter case ``rest_sender`` passes on the rest.  A stop sets it
    too, since the body no longer matters. ``answers`` maps
    attempt numbers to the upstreams' responses.
    """

    request_id: ids.RequestId
    head: RequestHead
    body_ready: trio.Event
    decided: trio.Event
    rest_sender: 'trio.MemorySendChannel[Chunk]'
    rest_receiver: 'trio.MemoryReceiveChannel[Chunk]'
    body_max_bytes: int
    body: bytes = b''
    body_complete: bool = False
    disconnected: bool = False
    body_too_large: bool = False
    decision: Decision | None = None
    answers: dict[int, UpstreamAnswer] = dataclasses.field(
        default_factory=dict
    )


class TimingRow(typing.NamedTuple):
    """Hold the time that one request took, from arrival to answer."""

    rank: str
    elapsed_ms: float


@dataclasses.dataclass(slots=True)
class Front:
    """Hold the open exchanges and count the calls that are being served.

    ``idle`` is set while there are no calls, ``stopping`` once the entry
    admits no request.
    """

    engine: engine_models.Engine
    exchanges: dict[ids.RequestId, Exchange]
    request_ids: 'itertools.count[int]'
    idle: trio.Event
    bounds: settings.Bounds
    timings: 'collections.deque[TimingRow]'
    stopping: trio.Event
    open_calls: int = 0


def new_front(
    engine: engine_models.Engine,
    bounds: settings.Bounds = DEFAULT_BOUNDS,
) -> Front:
    """Return a front end without exchanges."""
    idle = trio.Event()
    idle.set()
    timings: collections.deque[TimingRow] = collections.deque(
        maxlen=const.TIMINGS_MAX
    )
    return Front(
        engine,
        {},
        itertools.count(1),
        idle,
        bounds,
        timings,
        stopping=trio.Event(),
    )
