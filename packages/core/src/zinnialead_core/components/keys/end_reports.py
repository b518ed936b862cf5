"""Report to a key's registrars how the work under it ended."""

from collections import abc

from zinnialead_core.components.keys import const
from zinnialead_core.components.keys import messages
from zinnialead_core.components.keys import models
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module

Step = models.Step


def ask_id(world: world_module.World, claim: models.ClaimRow) -> ids.AskId:
    """Return the id of a claim, the same for all attempts of a request."""
    return ids.AskId(world.node.ref, claim.request_id, 0)


def step_timer(claim: models.ClaimRow) -> timers.ClaimTimeout:
    """Return the timer of a claim's current step."""
    return timers.ClaimTimeout(claim.request_id, int(claim.step))


def end_claim(
    world: world_module.World,
    now_ms: float,
    claim: models.ClaimRow,
    end: models.KeyEnd,
) -> abc.Iterator[out.Output]:
    """End a claim and report its end until the registrars confirm it."""
    timers.stop(world.timers, step_timer(claim))
    only_home_asked = claim.step in (Step.HOME, Step.HOME_GRANTED)
    claim = claim._replace(
        step=Step.END,
        end=end,
        sequence=claim.sequence + 1,
        tries=0,
        waiting=False,
        unacked=claim.registrars[:1] if only_home_asked else claim.registrars,
    )
    yield from _send_end(world, now_ms, claim)


def on_claim_ended(
    world: world_module.World,
    now_ms: float,
    request_id: ids.RequestId,
    outcome: verdict.Outcome,
) -> abc.Iterator[out.Output]:
    """End the claim of a request that is done or was given up."""
    claim = world.claims.get(request_id)
    if claim is None or claim.step is Step.END:
        return
    if claim.step is Step.BIND:
        del world.claims[request_id]
        return
    yield from end_claim(world, now_ms, claim, _to_key_end(outcome))


def on_late_outcome(
    world: world_module.World,
    now_ms: float,
    request_id: ids.RequestId,
    outcome: verdict.Outcome,
) -> abc.Iterator[out.Output]:
    """Report the answer to work whose end was reported as undecided."""
    claim = world.claims.get(request_id)
    if claim is None or claim.step is not Step.END:
        return
    match (claim.end, outcome):
        case (models.Undecided(), verdict.Answered()):
            world.counters['keys.late_end'] += 1
            yield from end_claim(world, now_ms, claim, _to_key_end(outcome))


def on_ack(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    ack: messages.ClaimEndAck,
) -> abc.Iterator[out.Output]:
    """Handle a registrar's confirmation that it recorded an end."""
    claim = world.claims.get(ack.ask_id.request_id)
    if claim is None or ack.ask_id != ask_id(world, claim):
        return
    if claim.step is not Step.END or claim.sequence != ack.sequence:
        return
    unacked = tuple(x for x in claim.unacked if x.entry != sender.entry)
    world.claims[claim.request_id] = claim._replace(unacked=unacked)
    if not unacked:
        yield from _close_claim(world, now_ms, claim)


def on_timeout(
    world: world_module.World, now_ms: float, request_id: ids.RequestId
) -> abc.Iterator[out.Output]:
    """Send an unconfirmed end again, up to ``END_TRIES_MAX`` times."""
    claim = world.claims.get(request_id)
    if claim is None or claim.step is not Step.END:
        return
    if not claim.unacked:
        del world.claims[request_id]
        return
    if claim.tries >= const.END_TRIES_MAX:
        world.counters['keys.end_unconfirmed'] += 1
        yield from _close_claim(world, now_ms, claim)
        return
    world.counters['keys.end_resent'] += 1
    yield from _send_end(world, now_ms, claim)


def _send_end(
    world: world_module.World, now_ms: float, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    delay_ms = const.CLAIM_TIMEOUT_MS * 2.0**claim.tries
    due_ms = now_ms + min(delay_ms, const.END_TIMEOUT_MAX_MS)
    claim = claim._replace(tries=claim.tries + 1)
    world.claims[claim.request_id] = claim
    timers.start(world.timers, step_timer(claim), due_ms)
    message = messages.ClaimEnd(
        claim.key, ask_id(world, claim), claim.sequence, claim.end
    )
    for registrar in claim.unacked:
        yield out.SendPeer(registrar.entry, message)


def _close_claim(
    world: world_module.World, now_ms: float, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    match claim.end:
        case models.Undecided():
            # Keep the row for a while: the outcome may still arrive.
            world.claims[claim.request_id] = claim._replace(unacked=())
            due_ms = now_ms + const.LATE_OUTCOME_WAIT_MS
            timers.start(world.timers, step_timer(claim), due_ms)
        case _:
            timers.stop(world.timers, step_timer(claim))
            world.claims.pop(claim.request_id, None)
    yield out.Notify(inp.ClaimClosed(claim.request_id))


def _to_key_end(outcome: verdict.Outcome) -> models.KeyEnd:
    match outcome:
        case verdict.Answered(status, record):
            return models.Ended(status, record)
        case verdict.Lost():
            return models.Undecided()
        case (
            verdict.Shed()
            | verdict.NotSent()
            | verdict.Unsendable()
            | verdict.NeverStarted()
        ):
            return None
