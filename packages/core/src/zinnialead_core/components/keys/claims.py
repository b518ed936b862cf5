"""Claim the keys of requests here, and report how their work ended."""

from collections import abc

from zinnialead_core.components.keys import const
from zinnialead_core.components.keys import ends
from zinnialead_core.components.keys import issued
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


def begin(
    world: world_module.World, now_ms: float, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    """Claim an issued key, or refuse one that can't be claimed."""
    known = issued.parse(claim.key)
    if known is None:
        yield from _deny(world, claim, _malformed())
        return
    if issued.expired(known, now_ms):
        yield from _deny(world, claim, _expired())
        return
    claim = claim._replace(registrars=known.registrars)
    yield from _enter(world, now_ms, claim, Step.HOME)


def on_answer(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    message: messages.ClaimAnswer,
) -> abc.Iterator[out.Output]:
    """Move a claim on by the answer of the registrar that it asked."""
    claim = world.claims.get(message.ask_id.request_id)
    if claim is None or message.ask_id != ends.ask_id(world, claim):
        return
    asked = _asked(claim)
    if asked is None or asked.entry != sender.entry:
        return
    match message.answer:
        case models.NotRegistrar():
            yield from _failed(world, now_ms, claim)
        case _ if asked != sender:
            return
        case models.Granted():
            yield from _granted(world, now_ms, claim)
        case models.Waiting():
            waiting = claim._replace(waiting=True, tries=0)
            world.claims[claim.request_id] = waiting
            due_ms = now_ms + const.WAIT_RESEND_MS
            timers.start(world.timers, ends.timeout(claim), due_ms)
        case models.Freed():
            yield from _enter(world, now_ms, claim, claim.step)
        case models.Recorded() | models.Denied() as denial:
            yield from _denied(world, now_ms, claim, denial)


def on_timeout(
    world: world_module.World,
    now_ms: float,
    request_id: ids.RequestId,
    step: int,
) -> abc.Iterator[out.Output]:
    """Ask a silent registrar again, or give it up."""
    claim = world.claims.get(request_id)
    if claim is None or claim.step != step or now_ms >= claim.deadline_ms:
        return
    if claim.tries >= const.ASKS_MAX and not claim.waiting:
        yield from _failed(world, now_ms, claim)
        return
    yield from _ask(world, now_ms, claim._replace(waiting=False))


def on_lost(
    world: world_module.World, now_ms: float, ref: ids.EntryRef
) -> abc.Iterator[out.Output]:
    """Give up a registrar that is taken for dead without a timeout."""
    for claim in list(world.claims.values()):
        asked = _asked(claim)
        if asked is not None and models.is_over(asked, ref):
            yield from _failed(world, now_ms, claim)


def deadline_refusal(
    world: world_module.World, request_id: ids.RequestId
) -> verdict.Refusal:
    """Return what is known of a request whose time ends in its claim."""
    claim = world.claims.get(request_id)
    reason = verdict.Reason.KEY_REGISTRAR_DOWN
    known = verdict.Verdict.MAY_HAVE_RUN
    detail = 'the deadline passed before the key was claimed'
    if claim is None:
        return verdict.Refusal(known, reason, detail)
    if claim.step in (Step.AT_HOME, Step.WITNESS, Step.HELD):
        known = verdict.Verdict.NOT_RUN
        reason = verdict.Reason.DEADLINE_PASSED
    elif claim.waiting:
        reason = verdict.Reason.KEY_IN_PROGRESS
        detail = 'another copy was in progress until the deadline'
    elif claim.step is Step.BIND:
        reason = verdict.Reason.KEY_UNDECIDED
    return verdict.Refusal(known, reason, detail)


def _enter(
    world: world_module.World,
    now_ms: float,
    claim: models.ClaimRow,
    step: models.Step,
) -> abc.Iterator[out.Output]:
    timers.stop(world.timers, ends.timeout(claim))
    claim = claim._replace(step=step, tries=0, waiting=False)
    world.claims[claim.request_id] = claim
    asked = _asked(claim)
    if asked is not None and liveness.is_lost(world, asked):
        yield from _failed(world, now_ms, claim)
        return
    yield from _ask(world, now_ms, claim)


def _ask(
    world: world_module.World, now_ms: float, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    claim = claim._replace(tries=claim.tries + 1)
    world.claims[claim.request_id] = claim
    asked = _asked(claim)
    if asked is None:
        return
    due_ms = now_ms + const.CLAIM_TIMEOUT_MS
    timers.start(world.timers, ends.timeout(claim), due_ms)
    if claim.tries > 1:
        world.counters['keys.ask_resent'] += 1
    ask_id = ends.ask_id(world, claim)
    if claim.step is Step.BAR:
        yield out.SendPeer(asked.entry, messages.BarKey(claim.key, ask_id))
    else:
        yield out.SendPeer(asked.entry, messages.ClaimAsk(claim.key, ask_id))


def _granted(
    world: world_module.World, now_ms: float, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    known = issued.parse(claim.key)
    late = known is None or issued.expired(known, now_ms)
    if late or now_ms >= claim.deadline_ms or claim.step is Step.BAR:
        # The timer of the deadline ends a claim that was granted late.
        return
    timers.stop(world.timers, ends.timeout(claim))
    if claim.step is Step.HOME:
        world.claims[claim.request_id] = claim._replace(step=Step.AT_HOME)
        yield out.Notify(inp.ClaimHeld(claim.request_id))
        return
    yield from _hold(world, claim)


def confirm(
    world: world_module.World, now_ms: float, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Claim a key at its witness, now that its work has a slot.

    Until then the witness knows nothing of the key, so that it can say
    truly that work which waits at an entry that dies did not run.
    """
    claim = world.claims.get(request_id)
    if claim is None:
        return
    if claim.step is Step.HELD:
        yield out.Notify(inp.ClaimConfirmed(request_id))
        return
    if claim.step is not Step.AT_HOME:
        return
    if len(claim.registrars) > 1:
        yield from _enter(world, now_ms, claim, Step.WITNESS)
        return
    yield from _hold(world, claim)


def _hold(
    world: world_module.World, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    world.claims[claim.request_id] = claim._replace(step=Step.HELD)
    world.counters['keys.held'] += 1
    yield out.Notify(inp.ClaimConfirmed(claim.request_id))


def _denied(
    world: world_module.World,
    now_ms: float,
    claim: models.ClaimRow,
    denial: models.Denial,
) -> abc.Iterator[out.Output]:
    # A home that denied its only ask has nothing to forget.
    if claim.step is not Step.HOME or claim.tries > 1:
        yield from ends.send(world, now_ms, claim, _bar_of(denial))
    yield from _deny(world, claim, denial)


def _bar_of(denial: models.Denial) -> models.Barred | None:
    match denial:
        case models.Denied(refusal) if (
            refusal.reason is verdict.Reason.KEY_BARRED
        ):
            return models.Barred()
        case _:
            return None


def _failed(
    world: world_module.World, now_ms: float, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    world.counters['keys.registrar_failed'] += 1
    known = verdict.Verdict.MAY_HAVE_RUN
    match claim.step:
        case models.Step.HOME if len(claim.registrars) > 1:
            yield from _enter(world, now_ms, claim, Step.BAR)
            return
        case models.Step.WITNESS:
            # The home's grant shows that no copy ran before this one.
            known = verdict.Verdict.NOT_RUN
    yield from ends.send(world, now_ms, claim, None)
    denial = models.denied(
        known,
        verdict.Reason.KEY_REGISTRAR_DOWN,
        f'a registrar of the key did not answer: {_asked(claim)}',
    )
    yield from _deny(world, claim, denial)


def _deny(
    world: world_module.World,
    claim: models.ClaimRow,
    denial: models.Denial,
) -> abc.Iterator[out.Output]:
    known = world.claims.get(claim.request_id)
    if known is not None and known.step is not Step.END:
        timers.stop(world.timers, ends.timeout(known))
        del world.claims[claim.request_id]
    match denial:
        case models.Denied(refusal):
            world.counters[f'keys.denied.{refusal.reason.value}'] += 1
        case models.Recorded():
            world.counters['keys.denied.recorded'] += 1
    yield out.Notify(inp.ClaimDenied(claim.request_id, denial))


def _asked(claim: models.ClaimRow) -> ids.EntryRef | None:
    match claim.step:
        case models.Step.HOME:
            return claim.registrars[0]
        case models.Step.WITNESS | models.Step.BAR:
            return claim.registrars[1]
        case _:
            return None


def _malformed() -> models.Denied:
    return models.denied(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.BAD_REQUEST,
        'the issued key is malformed',
    )


def _expired() -> models.Denied:
    return models.denied(
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Reason.KEY_EXPIRED,
        'the key is not within its lifetime',
    )
