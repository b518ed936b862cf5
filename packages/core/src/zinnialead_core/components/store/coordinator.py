"""Call the platform's store within its limits."""

from collections import abc

from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Take in the results of calls.

    Writes ``store``.
    """
    for item in inputs:
        match item:
            case inp.StoreDone(call_id):
                world.store.open.pop(call_id, None)
    yield from ()
