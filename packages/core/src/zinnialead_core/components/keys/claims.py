"""Claim the keys of this entry's requests at their registrars."""

from collections import abc

from zinnialead_core.components.keys import const
from zinnialead_core.components.keys import end_reports
from zinnialead_core.components.keys import issued_keys
from zinnialead_core.components.keys import liveness
from zinnialead_core.components.keys import messages
from zinnialead_core.components.keys import models
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module

Step = models.Step


def start(
    world: world_module.World, now_ms: float, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    """Start a claim of an issued key; deny a malformed or expired one."""
    issued_key = issued_keys.parse(claim.key)
    if issued_key is None:
        yield from _deny_claim(world, claim, _malformed_denial())
        return
    if issued_keys.is_expired(issued_key, now_ms):
        yield from _deny_claim(world, claim, _expired_denial())
        return
    claim = claim._replace(registrars=issued_key.registrars)
    yield from _enter_step(world, now_ms, claim, Step.HOME)


def on_answer(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    message: messages.ClaimAnswer,
) -> abc.Iterator[out.Output]:
    """Advance a claim by the answer of the registrar that it asked."""
    claim = world.claims.get(message.ask_id.request_id)
    if claim is None or message.ask_id != end_reports.ask_id(world, claim):
        return
    registrar = _asked_registrar(claim)
    if registrar is None or registrar.entry != sender.entry:
        return
    match message.answer:
        case models.NotRegistrar():
            yield from _on_registrar_failed(world, now_ms, claim)
        case _ if registrar != sender:
            return
        case models.Granted():
            yield from _on_granted(world, now_ms, claim)
        case models.Waiting():
            waiting = claim._replace(waiting=True, tries=0)
            world.claims[claim.request_id] = waiting
            due_ms = now_ms + const.WAIT_RESEND_MS
            timers.start(world.timers, end_reports.step_timer(claim), due_ms)
        case models.Freed():
            yield from _enter_step(world, now_ms, claim, claim.step)
        case models.Recorded() | models.Denied() as denial:
            yield from _on_denied(world, now_ms, claim, denial)


def on_timeout(
    world: world_module.World,
    now_ms: float,
    request_id: ids.RequestId,
    step: int,
) -> abc.Iterator[out.Output]:
    """Ask a silent registrar again, or treat it as failed."""
    claim = world.claims.get(request_id)
    if claim is None or claim.step != step or now_ms >= claim.deadline_ms:
        return
    if claim.tries >= const.CLAIM_TRIES_MAX and not claim.waiting:
        yield from _on_registrar_failed(world, now_ms, claim)
        return
    yield from _send_ask(world, now_ms, claim._replace(waiting=False))


def on_registrar_lost(
    world: world_module.World, now_ms: float, ref: ids.EntryRef
) -> abc.Iterator[out.Output]:
    """Treat a dead or restarted registrar as failed before its timeout."""
    for claim in list(world.claims.values()):
        registrar = _asked_registrar(claim)
        if registrar is not None and models.is_same_or_older(registrar, ref):
            yield from _on_registrar_failed(world, now_ms, claim)


def deadline_refusal(
    world: world_module.World, request_id: ids.RequestId
) -> verdict.Refusal:
    """Return the refusal of a request whose deadline passed in its claim."""
    claim = world.claims.get(request_id)
    reason = verdict.Reason.KEY_REGISTRAR_DOWN
    run_verdict = verdict.Verdict.MAY_HAVE_RUN
    detail = 'the deadline passed before the key was claimed'
    if claim is None:
        return verdict.Refusal(run_verdict, reason, detail)
    if claim.step in (Step.HOME_GRANTED, Step.WITNESS, Step.CONFIRMED):
        run_verdict = verdict.Verdict.NOT_RUN
        reason = verdict.Reason.DEADLINE_PASSED
    elif claim.waiting:
        reason = verdict.Reason.KEY_IN_PROGRESS
        detail = 'another copy was in progress until the deadline'
    elif claim.step is Step.BIND:
        reason = verdict.Reason.KEY_UNDECIDED
    return verdict.Refusal(run_verdict, reason, detail)


def _enter_step(
    world: world_module.World,
    now_ms: float,
    claim: models.ClaimRow,
    step: models.Step,
) -> abc.Iterator[out.Output]:
    timers.stop(world.timers, end_reports.step_timer(claim))
    claim = claim._replace(step=step, tries=0, waiting=False)
    world.claims[claim.request_id] = claim
    registrar = _asked_registrar(claim)
    if registrar is not None and liveness.is_lost(world, registrar):
        yield from _on_registrar_failed(world, now_ms, claim)
        return
    yield from _send_ask(world, now_ms, claim)


def _send_ask(
    world: world_module.World, now_ms: float, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    claim = claim._replace(tries=claim.tries + 1)
    world.claims[claim.request_id] = claim
    registrar = _asked_registrar(claim)
    if registrar is None:
        return
    due_ms = now_ms + const.CLAIM_TIMEOUT_MS
    timers.start(world.timers, end_reports.step_timer(claim), due_ms)
    if claim.tries > 1:
        world.counters['keys.ask_resent'] += 1
    ask_id = end_reports.ask_id(world, claim)
    if claim.step is Step.BAR:
        yield out.SendPeer(registrar.entry, messages.BarKey(claim.key, ask_id))
    else:
        yield out.SendPeer(
            registrar.entry, messages.ClaimAsk(claim.key, ask_id)
        )


def _on_granted(
    world: world_module.World, now_ms: float, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    issued_key = issued_keys.parse(claim.key)
    late = issued_key is None or issued_keys.is_expired(issued_key, now_ms)
    if late or now_ms >= claim.deadline_ms or claim.step is Step.BAR:
        # Too late to use the grant: the request's deadline ends the claim.
        return
    timers.stop(world.timers, end_reports.step_timer(claim))
    if claim.step is Step.HOME:
        world.claims[claim.request_id] = claim._replace(step=Step.HOME_GRANTED)
        yield out.Notify(inp.ClaimHeld(claim.request_id))
        return
    yield from _confirm_claim(world, claim)


def confirm(
    world: world_module.World, now_ms: float, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Claim a key at its witness once its work has a slot.

    The witness is not asked earlier, so that if this entry dies while the
    work is queued, the witness can correctly tell that it did not run.
    """
    claim = world.claims.get(request_id)
    if claim is None:
        return
    if claim.step is Step.CONFIRMED:
        yield out.Notify(inp.ClaimConfirmed(request_id))
        return
    if claim.step is not Step.HOME_GRANTED:
        return
    if len(claim.registrars) > 1:
        yield from _enter_step(world, now_ms, claim, Step.WITNESS)
        return
    yield from _confirm_claim(world, claim)


def _confirm_claim(
    world: world_module.World, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    world.claims[claim.request_id] = claim._replace(step=Step.CONFIRMED)
    world.counters['keys.held'] += 1
    yield out.Notify(inp.ClaimConfirmed(claim.request_id))


def _on_denied(
    world: world_module.World,
    now_ms: float,
    claim: models.ClaimRow,
    denial: models.Denial,
) -> abc.Iterator[out.Output]:
    # A home that denied its only ask has no claim to release.
    if claim.step is not Step.HOME or claim.tries > 1:
        yield from end_reports.end_claim(
            world, now_ms, claim, _end_after_denial(denial)
        )
    yield from _deny_claim(world, claim, denial)


def _end_after_denial(denial: models.Denial) -> models.Barred | None:
    """Return the end to report; the home must learn of the witness's bar."""
    match denial:
        case models.Denied(refusal) if (
            refusal.reason is verdict.Reason.KEY_BARRED
        ):
            return models.Barred()
        case _:
            return None


def _on_registrar_failed(
    world: world_module.World, now_ms: float, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    world.counters['keys.registrar_failed'] += 1
    run_verdict = verdict.Verdict.MAY_HAVE_RUN
    match claim.step:
        case models.Step.HOME if len(claim.registrars) > 1:
            yield from _enter_step(world, now_ms, claim, Step.BAR)
            return
        case models.Step.WITNESS:
            # The home's grant proves that no other copy has run.
            run_verdict = verdict.Verdict.NOT_RUN
    yield from end_reports.end_claim(world, now_ms, claim, None)
    denial = models.denied(
        run_verdict,
        verdict.Reason.KEY_REGISTRAR_DOWN,
        f'a registrar of the key did not answer: {_asked_registrar(claim)}',
    )
    yield from _deny_claim(world, claim, denial)


def _deny_claim(
    world: world_module.World,
    claim: models.ClaimRow,
    denial: models.Denial,
) -> abc.Iterator[out.Output]:
    stored = world.claims.get(claim.request_id)
    if stored is not None and stored.step is not Step.END:
        timers.stop(world.timers, end_reports.step_timer(stored))
        del world.claims[claim.request_id]
    match denial:
        case models.Denied(refusal):
            world.counters[f'keys.denied.{refusal.reason.value}'] += 1
        case models.Recorded():
            world.counters['keys.denied.recorded'] += 1
    yield out.Notify(inp.ClaimDenied(claim.request_id, denial))


def _asked_registrar(claim: models.ClaimRow) -> ids.EntryRef | None:
    match claim.step:
        case models.Step.HOME:
            return claim.registrars[0]
        case models.Step.WITNESS | models.Step.BAR:
            return claim.registrars[1]
        case _:
            return None


def _malformed_denial() -> models.Denied:
    return models.denied(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.BAD_REQUEST,
        'the issued key is malformed',
    )


def _expired_denial() -> models.Denied:
    return models.denied(
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Reason.KEY_EXPIRED,
        'the key is not within its lifetime',
    )
