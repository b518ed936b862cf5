"""Dispatch inputs to the handlers of claims and registrations."""

from collections import abc

from zinnialead_core.components.keys import binding
from zinnialead_core.components.keys import claims
from zinnialead_core.components.keys import end_reports
from zinnialead_core.components.keys import issued_keys
from zinnialead_core.components.keys import messages
from zinnialead_core.components.keys import models
from zinnialead_core.components.keys import registrar
from zinnialead_core.components.keys import registrations
from zinnialead_core.components.keys import restores
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Make claims for this entry's requests and answer those of others.

    Reads ``members``; writes ``claims``, ``registrations``,
    ``bindings``, ``store`` and ``timers``.
    """
    for event in inputs:
        match event:
            case inp.ClaimRequested():
                yield from _start_claim(world, now_ms, event)
            case inp.ConfirmationRequested(request_id):
                yield from claims.confirm(world, now_ms, request_id)
            case inp.ClaimEnded(request_id, outcome):
                yield from end_reports.on_claim_ended(
                    world, now_ms, request_id, outcome
                )
            case inp.DispatchDone(request_id, _, outcome):
                yield from end_reports.on_late_outcome(
                    world, now_ms, request_id, outcome
                )
            case inp.PeerMessage(sender, message):
                yield from _on_message(world, now_ms, sender, message)
            case inp.MemberLost(ref):
                yield from _on_member_lost(world, now_ms, ref)
            case inp.MemberJoined(ref):
                # The older incarnations have ended.
                older = ref._replace(incarnation=ref.incarnation - 1)
                yield from _on_member_lost(world, now_ms, older)
            case inp.StoreDone(call_id, result, era):
                yield from binding.on_store_done(
                    world, now_ms, call_id, result, era
                )
            case inp.StoreRestored():
                restores.plan_saving(world, now_ms)
            case inp.TimerDue(timer):
                yield from _on_timer(world, now_ms, timer)


def _start_claim(
    world: world_module.World, now_ms: float, request: inp.ClaimRequested
) -> abc.Iterator[out.Output]:
    claim = models.ClaimRow(
        request.request_id,
        request.key,
        request.created_ms,
        request.deadline_ms,
    )
    if issued_keys.is_issued(request.key):
        yield from claims.start(world, now_ms, claim)
        return
    yield from binding.start_claim(world, now_ms, claim)


def _on_message(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    message: object,
) -> abc.Iterator[out.Output]:
    match message:
        case messages.ClaimAsk() | messages.BarKey():
            yield from registrar.on_ask(world, now_ms, sender, message)
        case messages.ClaimEnd():
            yield from registrar.on_end(world, now_ms, sender, message)
        case messages.ClaimAnswer():
            yield from claims.on_answer(world, now_ms, sender, message)
        case messages.ClaimEndAck():
            yield from end_reports.on_ack(world, now_ms, sender, message)


def _on_member_lost(
    world: world_module.World, now_ms: float, ref: ids.EntryRef
) -> abc.Iterator[out.Output]:
    yield from registrar.on_holder_lost(world, ref)
    yield from claims.on_registrar_lost(world, now_ms, ref)


def _on_timer(
    world: world_module.World, now_ms: float, timer: timers.Timer
) -> abc.Iterator[out.Output]:
    match timer:
        case timers.ClaimTimeout(request_id, models.Step.END):
            yield from end_reports.on_timeout(world, now_ms, request_id)
        case timers.ClaimTimeout(request_id, step):
            yield from claims.on_timeout(world, now_ms, request_id, step)
        case timers.BindDue(shard):
            yield from binding.on_retry_due(world, now_ms, shard)
        case timers.KeysExpiry():
            registrations.drop_expired(world, now_ms)
