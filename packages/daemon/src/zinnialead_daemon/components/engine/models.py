"""Define what drives one entry's core."""

from collections import abc
import dataclasses
import typing

import trio

import zinnialead_core as core
from zinnialead_core import outputs as out


class Handlers(typing.TypedDict, total=False):
    """Name who carries out each kind of output; none of them waits."""

    send_peer: abc.Callable[[out.SendPeer], None]
    dispatch: abc.Callable[[out.Dispatch], None]
    cancel: abc.Callable[[out.CancelDispatch], None]
    answer: abc.Callable[[out.Relay | out.Replay | out.Refuse], None]
    call_store: abc.Callable[[out.CallStore], None]
    log_change: abc.Callable[[out.LogChange], None]
    stopped: abc.Callable[[], None]


@dataclasses.dataclass(slots=True)
class Engine:
    """Hold one entry's world, its clock and who carries out outputs."""

    world: core.World
    now_ms: abc.Callable[[], float]
    handlers: Handlers
    rescheduled: trio.Event
    next_due_ms: float | None = None
