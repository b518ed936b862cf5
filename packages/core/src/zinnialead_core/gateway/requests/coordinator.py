"""Move requests on by what happened to them."""

from collections import abc

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.requests import admission
from zinnialead_core.gateway.requests import attempts
from zinnialead_core.gateway.requests import budget
from zinnialead_core.gateway.requests import endings
from zinnialead_core.gateway.requests import models
from zinnialead_core.gateway.requests import waiting
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import timers as timer_table
from zinnialead_core import verdict


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Take requests in and on; writes ``requests`` and ``loads``."""
    for item in inputs:
        match item:
            case inp.RequestArrived():
                yield from _arrive(world, now_ms, item)
            case inp.AttemptDone():
                yield from attempts.done(world, now_ms, item)
            case inp.CallerDisconnected(request_id):
                yield from endings.caller_gone(world, request_id)
            case inp.TimerDue(timers.RequestDeadline(request_id)):
                yield from endings.deadline(world, now_ms, request_id)
            case inp.TimerDue(timers.QueueTimeout(request_id)):
                yield from waiting.over(world, now_ms, request_id)
            case (
                inp.UpstreamsListed()
                | inp.UpstreamRegistered()
                | inp.DrainRemoved()
            ):
                yield from waiting.wake_all(world, now_ms)


def _arrive(
    world: world_module.World, now_ms: float, item: inp.RequestArrived
) -> abc.Iterator[out.Output]:
    world.counters['requests.arrived'] += 1
    decision = admission.admit(world, now_ms, item)
    match decision:
        case verdict.Refusal():
            world.counters[f'requests.refused.{decision.reason.value}'] += 1
            yield out.LogDecision(
                item.request_id,
                item.name,
                'refused',
                {'reason': decision.reason.value, 'detail': decision.detail},
            )
            yield out.Refuse(item.request_id, decision)
        case models.RequestRow():
            world.requests.rows[item.request_id] = decision
            budget.arrived(world, now_ms, decision.service)
            timer = timers.RequestDeadline(item.request_id)
            timer_table.start(world.timers, timer, decision.deadline_ms)
            yield from attempts.place(world, now_ms, decision)
