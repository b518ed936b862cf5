"""Define the engine that runs the core of one entry."""

from collections import abc
import dataclasses
import typing

import trio

import zinnialead_core as core
from zinnialead_core import outputs as out


class Handlers(typing.TypedDict, total=False):
    """Hold the handler of each kind of output; handlers never block."""

    send_peer: abc.Callable[[out.SendPeer], None]
    dispatch: abc.Callable[[out.Dispatch], None]
    cancel: abc.Callable[[out.CancelDispatch], None]
    answer: abc.Callable[[out.Relay | out.Replay | out.Refuse], None]
    call_store: abc.Callable[[out.CallStore], None]
    log_change: abc.Callable[[out.LogChange], None]
    stop_started: abc.Callable[[], None]
    stopped: abc.Callable[[], None]


@dataclasses.dataclass(slots=True)
class Engine:
    """Hold an entry's tables, its clock and the handlers of its outputs.

    ``rescheduled`` wakes the timer task when a new timer is due before
    ``next_due_ms``, the time until which that task sleeps.
    """

    world: core.World
    now_ms: abc.Callable[[], float]
    handlers: Handlers
    rescheduled: trio.Event
    next_due_ms: float | None = None
