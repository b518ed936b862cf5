"""Claim keys at their registrars and keep registrations for others."""

from collections import abc

from zinnialead_core.components.keys import const
from zinnialead_core.components.keys import messages
from zinnialead_core.components.keys import models
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Make claims for requests here and answer claims of others.

    Reads ``members``; writes ``claims`` and ``registrations``.
    """
    for item in inputs:
        match item:
            case inp.ClaimWanted():
                yield from _claim(world, item)
            case inp.ClaimEnded(request_id, outcome):
                yield from _end(world, request_id, outcome)
            case inp.PeerMessage(sender, message):
                yield from _on_message(world, now_ms, sender, message)


def _claim(
    world: world_module.World, item: inp.ClaimWanted
) -> abc.Iterator[out.Output]:
    registrars = (world.node.ref,)
    world.claims[item.request_id] = models.ClaimRow(
        item.request_id,
        item.key,
        item.created_ms,
        item.deadline_ms,
        registrars,
        0,
    )
    ask_id = ids.AskId(world.node.ref, item.request_id, 0)
    ask = messages.ClaimAsk(item.key, ask_id, const.KEY_LIFETIME_MS)
    yield out.SendPeer(registrars[0].entry, ask)


def _end(
    world: world_module.World,
    request_id: ids.RequestId,
    outcome: verdict.Outcome,
) -> abc.Iterator[out.Output]:
    claim = world.claims.pop(request_id, None)
    if claim is None:
        return
    ask_id = ids.AskId(world.node.ref, request_id, 0)
    end = messages.ClaimEnd(claim.key, ask_id, _end_state(outcome))
    for registrar in claim.registrars:
        yield out.SendPeer(registrar.entry, end)


def _end_state(
    outcome: verdict.Outcome,
) -> models.Ended | models.Undecided | None:
    match outcome:
        case verdict.Answered(status, record):
            return models.Ended(status, record)
        case verdict.Lost():
            return models.Undecided()
        case _:
            return None


def _on_message(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    message: object,
) -> abc.Iterator[out.Output]:
    match message:
        case messages.ClaimAsk(key, ask_id, lifetime_left_ms):
            expires_ms = now_ms + lifetime_left_ms + const.CLOCK_MARGIN_MS
            answer = _register(world, key, ask_id, expires_ms)
            reply = messages.ClaimAnswer(key, ask_id, answer)
            yield out.SendPeer(sender.entry, reply)
        case messages.ClaimAnswer(_, ask_id, answer):
            yield from _answered(world, ask_id, answer)
        case messages.ClaimEnd(key, ask_id, state):
            _record(world, key, ask_id, state)


def _register(
    world: world_module.World,
    key: ids.Key,
    ask_id: ids.AskId,
    expires_ms: float,
) -> models.Granted | models.Denial:
    row = world.registrations.get(key)
    if row is None:
        claimed = models.Claimed(ask_id)
        row = models.RegistrationRow(key, claimed, expires_ms)
        world.registrations[key] = row
        return models.Granted()
    match row.state:
        case models.Claimed(holder) if holder == ask_id:
            return models.Granted()
        case models.Ended(status, record):
            return models.Recorded(status, record)
        case models.Barred():
            return _denied(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.KEY_BARRED,
                'the key was barred; ask for another one',
            )
        case models.Undecided():
            return _denied(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.KEY_UNDECIDED,
                'the work was sent and its end is unknown',
            )
        case models.Claimed():
            return _denied(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.KEY_IN_PROGRESS,
                'work under this key is in progress',
            )


def _denied(
    known: verdict.Verdict, reason: verdict.Reason, detail: str
) -> models.Denied:
    return models.Denied(verdict.Refusal(known, reason, detail))


def _answered(
    world: world_module.World,
    ask_id: ids.AskId,
    answer: models.Granted | models.Denial,
) -> abc.Iterator[out.Output]:
    claim = world.claims.get(ask_id.request_id)
    if claim is None or ask_id.asker != world.node.ref:
        return
    match answer:
        case models.Granted():
            yield out.Notify(inp.ClaimHeld(ask_id.request_id))
        case models.Recorded() | models.Denied():
            del world.claims[ask_id.request_id]
            yield out.Notify(inp.ClaimDenied(ask_id.request_id, answer))


def _record(
    world: world_module.World,
    key: ids.Key,
    ask_id: ids.AskId,
    state: models.Ended | models.Undecided | models.Barred | None,
) -> None:
    row = world.registrations.get(key)
    if row is None or row.state != models.Claimed(ask_id):
        return
    if state is None:
        del world.registrations[key]
        return
    world.registrations[key] = row._replace(state=state)
