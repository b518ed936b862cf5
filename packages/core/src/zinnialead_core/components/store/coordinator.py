"""Call the platform's store within its limits."""

from collections import abc

from zinnialead_core.components.store import eras
from zinnialead_core.components.store import tasks
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Watch the state and list the VMs, if this entry is a reader.

    Reads ``members`` and ``states``; writes ``store`` and ``timers``.
    """
    tasks.plan_first_calls(world, now_ms)
    for event in inputs:
        match event:
            case inp.StoreDone(call_id, result, era):
                yield from eras.enter(world, now_ms, era, call_id)
                yield from tasks.save_missing_state(world, now_ms, event)
                tasks.finish_call(world, now_ms, call_id, result, era)
                yield from tasks.make_due_calls(world, now_ms)
            case inp.StateLost():
                yield from tasks.save_state(world, now_ms)
            case inp.TimerDue(timers.StoreDue()):
                yield from tasks.make_due_calls(world, now_ms)
