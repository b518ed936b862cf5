"""File a ticket with a conditional update; the caller does the I/O."""

from collections import abc

from zinnialead_config.filing import const
from zinnialead_config.filing import models
from zinnialead_config import problems
from zinnialead_config.tickets import folding
from zinnialead_config.tickets import models as ticket_models
from zinnialead_config.tickets import states
from zinnialead_core.components import store
from zinnialead_core.components import tickets

Filing = abc.Generator[store.Call, store.Result, models.Outcome]


def file_ticket(ticket: ticket_models.Ticket, now_ms: float) -> Filing:
    """Yield the store calls that file a ticket; return the outcome.

    If a write gets no answer, the state is read again: its history shows
    which ticket was filed under the number.
    """
    detail = 'the store was not asked'
    for _ in range(const.ATTEMPTS_MAX):
        read_result = yield store.Read(const.STATE_OBJECT)
        match read_result:
            case store.Found(_, value, version):
                outcome, write = _update_step(ticket, now_ms, value, version)
            case store.Missing():
                outcome, write = _create_step(ticket, now_ms)
            case _:
                detail = f'reading {const.STATE_OBJECT!r}: {read_result}'
                continue
        if outcome is not None:
            return outcome
        write_result = yield write
        if isinstance(write_result, store.Found):
            return models.Filed(ticket.number)
        detail = f'writing {const.STATE_OBJECT!r}: {write_result}'
    return models.Unknown(detail)


# The outcome if it is already certain, else None and the write to make.
Step = tuple[models.Outcome | None, store.Call]
# Stands in for the write in a step that has an outcome.
NO_CALL = store.Read(const.STATE_OBJECT)


def _create_step(ticket: ticket_models.Ticket, now_ms: float) -> Step:
    folded = folding.fold(tickets.empty_state(), ticket, now_ms)
    if folded.is_error():
        return models.Refused(folded.error), NO_CALL
    encoded = states.encode(folded.ok)
    return None, store.Create(const.STATE_OBJECT, encoded)


def _update_step(
    ticket: ticket_models.Ticket, now_ms: float, value: bytes, version: int
) -> Step:
    decoded = states.decode(value)
    if decoded.is_error():
        return models.Refused(decoded.error), NO_CALL
    state = decoded.ok
    if ticket.number <= state.number:
        return _filed_outcome(ticket, state), NO_CALL
    folded = folding.fold(state, ticket, now_ms)
    if folded.is_error():
        return models.Refused(folded.error), NO_CALL
    encoded = states.encode(folded.ok)
    return None, store.Update(const.STATE_OBJECT, encoded, version)


def _filed_outcome(
    ticket: ticket_models.Ticket, state: tickets.State
) -> models.Outcome:
    for note in state.history:
        if note.number != ticket.number:
            continue
        if note.digest == ticket.digest:
            return models.Filed(ticket.number, again=True)
        return models.LostRace(note)
    reason = f'ticket {ticket.number} is older than the history kept'
    return models.Refused((problems.Problem(ticket.file, 'number', reason),))
