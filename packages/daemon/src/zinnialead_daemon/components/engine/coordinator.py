"""Run a tick of the core for each input and each due timer."""

from collections import abc
import time

import trio

import zinnialead_core as core
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_daemon.components.engine import const
from zinnialead_daemon.components.engine import models


def wall_clock() -> abc.Callable[[], float]:
    """Return a monotonic clock in ms since 1970."""
    offset_s = time.time() - time.monotonic()
    return lambda: (offset_s + time.monotonic()) * const.MS_PER_S


def new_engine(
    world: core.World, now_ms: abc.Callable[[], float] | None = None
) -> models.Engine:
    """Return an engine with only its initial handlers set."""
    return models.Engine(
        world=world,
        now_ms=now_ms or wall_clock(),
        handlers=_initial_handlers(),
        rescheduled=trio.Event(),
    )


def _initial_handlers() -> models.Handlers:
    """Return handlers that ignore outputs made before the set-up ends."""
    return models.Handlers(
        send_peer=lambda _: None,
        call_store=lambda _: None,
        log_change=lambda _: None,
        stop_started=lambda: None,
    )


def feed(engine: models.Engine, *inputs: inp.Input) -> None:
    """Run one tick over ``inputs`` and execute its outputs."""
    outputs = list(core.tick(engine.world, engine.now_ms(), inputs))
    for output in outputs:
        _execute(engine.handlers, output)
    due_ms = core.next_due_ms(engine.world)
    if due_ms is None:
        return
    if engine.next_due_ms is None or due_ms < engine.next_due_ms:
        engine.rescheduled.set()


async def run_timers(engine: models.Engine) -> None:
    """Run a tick whenever a timer is due, without end."""
    while True:
        engine.rescheduled = trio.Event()
        engine.next_due_ms = core.next_due_ms(engine.world)
        if engine.next_due_ms is None:
            await engine.rescheduled.wait()
            continue
        wait_ms = engine.next_due_ms - engine.now_ms()
        with trio.move_on_after(max(0.0, wait_ms) / const.MS_PER_S):
            await engine.rescheduled.wait()
            continue
        feed(engine)


def _execute(handlers: models.Handlers, output: out.Output) -> None:
    """Pass an output to the handler for its kind."""
    match output:
        case out.SendPeer():
            handlers['send_peer'](output)
        case out.Dispatch():
            handlers['dispatch'](output)
        case out.CancelDispatch():
            handlers['cancel'](output)
        case out.Relay() | out.Replay() | out.Refuse():
            handlers['answer'](output)
        case out.CallStore():
            handlers['call_store'](output)
        case out.LogChange():
            handlers['log_change'](output)
        case out.StopStarted():
            handlers['stop_started']()
        case out.Stopped():
            handlers['stopped']()
        case out.Notify():
            raise AssertionError(f'{output} must be handled within the tick')
