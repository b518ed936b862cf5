"""Run the core's tick for each input and each due timer."""

from collections import abc
import dataclasses
import time

import trio

from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_gateway import const

HandleOutput = abc.Callable[[out.Output], None]


@dataclasses.dataclass(slots=True)
class Engine:
    """Hold the core's tables, the output handler and the next timer.

    ``timer_changed`` is set when a timer is due before ``timer_due_ms``.
    """

    world: gateway.World
    carry_out: HandleOutput
    timer_changed: trio.Event
    timer_due_ms: float | None = None


def now_ms() -> float:
    """Return the monotonic clock in ms."""
    return time.monotonic() * const.MS_PER_S


def new_engine(world: gateway.World) -> Engine:
    """Return an engine that ignores outputs until a handler is set."""
    return Engine(world, lambda _: None, trio.Event())


def feed(engine: Engine, *inputs: inp.Input) -> None:
    """Run one tick over ``inputs`` and carry out its outputs."""
    for output in list(gateway.tick(engine.world, now_ms(), inputs)):
        engine.carry_out(output)
    due_ms = gateway.next_due_ms(engine.world)
    if due_ms is None:
        return
    if engine.timer_due_ms is None or due_ms < engine.timer_due_ms:
        engine.timer_changed.set()


async def run_timers(engine: Engine) -> None:
    """Sleep until the earliest timer is due, run a tick, and repeat."""
    while True:
        engine.timer_changed = trio.Event()
        engine.timer_due_ms = gateway.next_due_ms(engine.world)
        if engine.timer_due_ms is None:
            await engine.timer_changed.wait()
            continue
        left_ms = engine.timer_due_ms - now_ms()
        with trio.move_on_after(max(0.0, left_ms) / const.MS_PER_S):
            await engine.timer_changed.wait()
            continue
        feed(engine)
