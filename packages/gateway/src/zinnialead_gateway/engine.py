"""Run a tick for each input and at each due timer."""

from collections import abc
import dataclasses
import time

import trio

from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_gateway import const

Carry = abc.Callable[[out.Output], None]


@dataclasses.dataclass(slots=True)
class Engine:
    """Hold the core's tables and the part that carries its outputs out."""

    world: gateway.World
    carry_out: Carry
    earlier: trio.Event
    awaited_ms: float | None = None


def now_ms() -> float:
    """Return the steady clock in ms."""
    return time.monotonic() * const.MS_PER_S


def new_engine(world: gateway.World) -> Engine:
    """Return an engine that carries out nothing yet."""
    return Engine(world, lambda _: None, trio.Event())


def feed(engine: Engine, *inputs: inp.Input) -> None:
    """Run one tick over ``inputs`` and carry out what it asks for."""
    for output in list(gateway.tick(engine.world, now_ms(), inputs)):
        engine.carry_out(output)
    due_ms = gateway.next_due_ms(engine.world)
    if due_ms is None:
        return
    if engine.awaited_ms is None or due_ms < engine.awaited_ms:
        engine.earlier.set()


async def run_timers(engine: Engine) -> None:
    """Sleep until the earliest timer is due, and tick, for good."""
    while True:
        engine.earlier = trio.Event()
        engine.awaited_ms = gateway.next_due_ms(engine.world)
        if engine.awaited_ms is None:
            await engine.earlier.wait()
            continue
        left_ms = engine.awaited_ms - now_ms()
        with trio.move_on_after(max(0.0, left_ms) / const.MS_PER_S):
            await engine.earlier.wait()
            continue
        feed(engine)
