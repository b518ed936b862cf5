"""Drive requests from their arrival to their completion."""

from collections import abc

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.requests import admission
from zinnialead_core.gateway.requests import attempts
from zinnialead_core.gateway.requests import completion
from zinnialead_core.gateway.requests import models
from zinnialead_core.gateway.requests import retry_budget
from zinnialead_core.gateway.requests import stopping
from zinnialead_core.gateway.requests import wait_queue
from zinnialead_core.gateway import timers
from zinnialead_core.gateway import world as world_module
from zinnialead_core import timer_table
from zinnialead_core import verdict


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Process the inputs of requests; writes ``requests`` and ``loads``."""
    for event in inputs:
        match event:
            case inp.RequestArrived():
                yield from _arrive(world, now_ms, event)
            case inp.AttemptDone():
                yield from attempts.finish(world, now_ms, event)
            case inp.CallerDisconnected(request_id):
                yield from completion.caller_disconnected(world, request_id)
            case inp.TimerDue(timers.RequestDeadline(request_id)):
                yield from completion.expire(world, now_ms, request_id)
            case inp.TimerDue(timers.QueueTimeout(request_id)):
                yield from wait_queue.time_out(world, now_ms, request_id)
            case inp.StopRequested():
                stopping.begin(world, now_ms)
            case inp.TimerDue(timers.StopDeadline()):
                yield from completion.end_all(world, now_ms)
            case (
                inp.UpstreamsListed()
                | inp.UpstreamRegistered()
                | inp.DrainRemoved()
                | inp.HealthChecked()
            ):
                yield from wait_queue.send_all_waiting(world, now_ms)


def _arrive(
    world: world_module.World, now_ms: float, arrival: inp.RequestArrived
) -> abc.Iterator[out.Output]:
    world.counters['requests.arrived'] += 1
    decision = admission.admit(world, now_ms, arrival)
    match decision:
        case verdict.Refusal():
            world.counters[f'requests.refused.{decision.reason.value}'] += 1
            yield out.LogDecision(
                arrival.request_id,
                arrival.name,
                'refused',
                {'reason': decision.reason.value, 'detail': decision.detail},
            )
            yield out.Refuse(arrival.request_id, decision)
        case models.RequestRow():
            world.requests.rows[arrival.request_id] = decision
            retry_budget.record_request(world, now_ms, decision.service)
            timer = timers.RequestDeadline(arrival.request_id)
            timer_table.start(world.timers, timer, decision.deadline_ms)
            yield from attempts.send_or_queue(world, now_ms, decision)
