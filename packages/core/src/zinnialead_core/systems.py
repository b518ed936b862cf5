"""Run the systems over the tables, in a fixed order."""

from collections import abc

from zinnialead_core.components.keys import coordinator as keys
from zinnialead_core.components.lookups import coordinator as lookups
from zinnialead_core.components.members import coordinator as members
from zinnialead_core.components.requests import coordinator as requests
from zinnialead_core.components.slots import coordinator as slots
from zinnialead_core.components.steering import coordinator as steering
from zinnialead_core.components.store import coordinator as store
from zinnialead_core.components.tickets import coordinator as tickets
from zinnialead_core.components.upstreams import coordinator as upstreams
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module

# Each system sees what the systems before it wrote in the same pass.
SYSTEMS = (
    store.run,
    tickets.run,
    members.run,
    lookups.run,
    upstreams.run,
    steering.run,
    keys.run,
    requests.run,
    slots.run,
)


def tick(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Iterable[inp.Input],
) -> abc.Iterator[out.Output]:
    """Yield the outputs that ``inputs`` and the due timers lead to.

    The systems run again over the inputs that they give each other, until
    there are none left. ``Stopped`` is always the last output.
    """
    due_timers = timers.pop_due(world.timers, now_ms)
    batch = [*inputs, *map(inp.TimerDue, due_timers)]
    stopped: list[out.Stopped] = []
    while batch:
        next_batch: list[inp.Input] = []
        for output in _run_once(world, now_ms, batch):
            match output:
                case out.Notify(notification):
                    next_batch.append(notification)
                case out.SendPeer(entry, message) if (
                    entry == world.node.ref.entry
                ):
                    next_batch.append(inp.PeerMessage(world.node.ref, message))
                case out.Stopped():
                    stopped = [output]
                case _:
                    yield output
        batch = next_batch
    yield from stopped


def next_due_ms(world: world_module.World) -> float | None:
    """Return when the next tick is due without an input, None if never."""
    return timers.next_due_ms(world.timers)


def _run_once(
    world: world_module.World,
    now_ms: float,
    batch: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    for system in SYSTEMS:
        yield from system(world, now_ms, batch)
