"""Decide claims of keys that name this entry as a registrar."""

from collections import abc

from zinnialead_core.components.keys import const
from zinnialead_core.components.keys import issued_keys
from zinnialead_core.components.keys import liveness
from zinnialead_core.components.keys import messages
from zinnialead_core.components.keys import models
from zinnialead_core.components.keys import registrations
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def on_ask(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    ask: messages.ClaimAsk | messages.BarKey,
) -> abc.Iterator[out.Output]:
    """Answer a claim or a bar, unless that claim was already released."""
    answer = _decide(world, now_ms, ask)
    if answer is None:
        world.counters['keys.stale_ask'] += 1
        return
    reply = messages.ClaimAnswer(ask.key, ask.ask_id, answer)
    yield out.SendPeer(sender.entry, reply)


def on_end(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    end: messages.ClaimEnd,
) -> abc.Iterator[out.Output]:
    """Record and confirm the end of a claim, and answer its waiters."""
    ack = messages.ClaimEndAck(end.key, end.ask_id, end.sequence)
    yield out.SendPeer(sender.entry, ack)
    issued_key = issued_keys.parse(end.key)
    if issued_key is None or world.node.ref not in issued_key.registrars:
        return
    if not issued_keys.is_registrable(issued_key, now_ms):
        return
    row = world.registrations.rows.get(end.key)
    if row is None:
        if not registrations.make_room(world):
            world.counters['keys.end_dropped'] += 1
            return
        row = models.RegistrationRow(
            end.key, models.Free(), issued_keys.expires_ms(issued_key)
        )
    row = _without_waiter(row, end.ask_id)
    if end.state is None:
        row = _with_released(row, end.ask_id)
    row = row._replace(state=_state_after_end(row.state, end))
    yield from _store_and_notify(world, row)


def on_holder_lost(
    world: world_module.World, ref: ids.EntryRef
) -> abc.Iterator[out.Output]:
    """Tell the waiters of a lost holder that the work may have run."""
    for row in list(registrations.with_waiters(world)):
        match row.state:
            case models.Claimed(holder) if models.is_same_or_older(
                holder.asker, ref
            ):
                yield from _answer_waiters(row, _holder_lost_denial())
                registrations.store(world, row._replace(waiters=()))


def _decide(
    world: world_module.World,
    now_ms: float,
    ask: messages.ClaimAsk | messages.BarKey,
) -> models.Answer | None:
    issued_key = issued_keys.parse(ask.key)
    if issued_key is None or world.node.ref not in issued_key.registrars:
        return models.NotRegistrar()
    if not issued_keys.is_registrable(issued_key, now_ms):
        return models.denied(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.KEY_EXPIRED,
            'the key is past its lifetime',
        )
    row = world.registrations.rows.get(ask.key)
    if row is None:
        if not registrations.make_room(world):
            return _full_denial(ask)
        row = models.RegistrationRow(
            ask.key, models.Free(), issued_keys.expires_ms(issued_key)
        )
    if ask.ask_id in row.released:
        return None
    match row.state:
        case models.Free():
            return _decide_free(world, row, ask)
        case models.Claimed(holder):
            return _decide_claimed(world, row, holder, ask)
        case state:
            return _denial_of(state)


def _decide_free(
    world: world_module.World,
    row: models.RegistrationRow,
    ask: messages.ClaimAsk | messages.BarKey,
) -> models.Answer:
    match ask:
        case messages.ClaimAsk():
            claimed = models.Claimed(ask.ask_id)
            registrations.store(world, row._replace(state=claimed))
            world.counters['keys.granted'] += 1
            return models.Granted()
        case messages.BarKey():
            registrations.store(world, row._replace(state=models.Barred()))
            world.counters['keys.barred'] += 1
            return _denial_of(models.Barred())


def _decide_claimed(
    world: world_module.World,
    row: models.RegistrationRow,
    holder: ids.AskId,
    ask: messages.ClaimAsk | messages.BarKey,
) -> models.Answer:
    if holder == ask.ask_id:
        return models.Granted()
    if liveness.is_lost(world, holder.asker):
        return _holder_lost_denial()
    if ask.ask_id in row.waiters:
        return models.Waiting()
    if len(row.waiters) >= const.WAITERS_MAX:
        return models.denied(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.KEY_IN_PROGRESS,
            'too many copies wait for the work under this key',
        )
    registrations.store(
        world, row._replace(waiters=(*row.waiters, ask.ask_id))
    )
    return models.Waiting()


def _denial_of(
    state: models.Ended | models.Undecided | models.Barred,
) -> models.Denial:
    match state:
        case models.Ended(status, record):
            return models.Recorded(status, record)
        case models.Undecided():
            return models.denied(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.KEY_UNDECIDED,
                'the work was sent and its end is not known',
            )
        case models.Barred():
            return models.denied(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.KEY_BARRED,
                'the key was barred before any work ran; take another key',
            )


def _full_denial(ask: messages.ClaimAsk | messages.BarKey) -> models.Denied:
    # A bar that can't be recorded leaves the key open to other copies.
    match ask:
        case messages.ClaimAsk():
            run_verdict = verdict.Verdict.NOT_RUN
        case messages.BarKey():
            run_verdict = verdict.Verdict.MAY_HAVE_RUN
    return models.denied(
        run_verdict, verdict.Reason.KEYS_FULL, 'the table of keys is full'
    )


def _holder_lost_denial() -> models.Denied:
    return models.denied(
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Reason.KEY_UNDECIDED,
        'the entry that held the work under this key is lost',
    )


def _state_after_end(
    state: models.KeyState, end: messages.ClaimEnd
) -> models.KeyState:
    match (state, end.state):
        case (models.Claimed(holder), end_state) if holder == end.ask_id:
            return end_state or models.Free()
        case (models.Undecided(), models.Ended() as end_state):
            return end_state
        case (models.Free(), models.Barred()):
            return models.Barred()
        case _:
            return state


def _with_released(
    row: models.RegistrationRow, ask_id: ids.AskId
) -> models.RegistrationRow:
    if ask_id in row.released:
        return row
    released = (*row.released, ask_id)[-const.RELEASED_CLAIMS_MAX :]
    return row._replace(released=released)


def _without_waiter(
    row: models.RegistrationRow, ask_id: ids.AskId
) -> models.RegistrationRow:
    waiters = tuple(x for x in row.waiters if x != ask_id)
    return row._replace(waiters=waiters)


def _store_and_notify(
    world: world_module.World, row: models.RegistrationRow
) -> abc.Iterator[out.Output]:
    match row.state:
        case models.Claimed():
            registrations.store(world, row)
            return
        case models.Free():
            answer: models.Answer = models.Freed()
        case state:
            answer = _denial_of(state)
    registrations.store(world, row._replace(waiters=()))
    yield from _answer_waiters(row, answer)


def _answer_waiters(
    row: models.RegistrationRow, answer: models.Answer
) -> abc.Iterator[out.Output]:
    for ask_id in row.waiters:
        message = messages.ClaimAnswer(row.key, ask_id, answer)
        yield out.SendPeer(ask_id.asker.entry, message)
