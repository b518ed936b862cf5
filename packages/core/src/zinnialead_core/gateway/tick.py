"""Run the gateway's systems over the tables in a fixed order."""

from collections import abc

from zinnialead_core.gateway.entries import coordinator as entries
from zinnialead_core.gateway.health_checks import coordinator as health_checks
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.placement import coordinator as placement
from zinnialead_core.gateway.requests import coordinator as requests
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway.store import coordinator as store
from zinnialead_core.gateway.upstreams import coordinator as upstreams
from zinnialead_core.gateway import world as world_module
from zinnialead_core import timer_table

# Each system sees what the earlier ones wrote in the same pass.
SYSTEMS = (
    store.run,
    routes.run,
    upstreams.run,
    health_checks.run,
    entries.run,
    placement.run,
    requests.run,
)


def tick(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Iterable[inp.Input],
) -> abc.Iterator[out.Output]:
    """Process ``inputs`` and due timers, and yield the resulting outputs.

    The systems run again over the inputs that they notify each other of,
    until there are none left.
    """
    due = timer_table.pop_due(world.timers, now_ms)
    batch = [*inputs, *map(inp.TimerDue, due)]
    while batch:
        notified: list[inp.Input] = []
        for system in SYSTEMS:
            for output in system(world, now_ms, batch):
                match output:
                    case out.Notify(notification):
                        notified.append(notification)
                    case _:
                        yield output
        batch = notified


def next_due_ms(world: world_module.World) -> float | None:
    """Return when the next timer is due, None without timers."""
    return timer_table.next_due_ms(world.timers)
