"""File a ticket by a conditional update, without doing I/O itself."""

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
    """Yield the store calls that file a ticket; return how it ended.

    A write without an answer is resolved by reading back: the history of
    the state says which ticket has the number.
    """
    detail = 'the store was not asked'
    for _ in range(const.READ_BACKS_MAX):
        read = yield store.Read(const.STATE_OBJECT)
        match read:
            case store.Found(_, value, version):
                decided, write = _against(ticket, now_ms, value, version)
            case store.Missing():
                decided, write = _first(ticket, now_ms)
            case _:
                detail = f'reading {const.STATE_OBJECT!r}: {read}'
                continue
        if decided is not None:
            return decided
        written = yield write
        if isinstance(written, store.Found):
            return models.Filed(ticket.number)
        detail = f'writing {const.STATE_OBJECT!r}: {written}'
    return models.Unknown(detail)


Step = tuple[models.Outcome | None, store.Call]
NO_CALL = store.Read(const.STATE_OBJECT)


def _first(ticket: ticket_models.Ticket, now_ms: float) -> Step:
    folded = folding.fold(tickets.empty_state(), ticket, now_ms)
    if folded.is_error():
        return models.Refused(folded.error), NO_CALL
    encoded = states.encode(folded.ok)
    return None, store.Create(const.STATE_OBJECT, encoded)


def _against(
    ticket: ticket_models.Ticket, now_ms: float, value: bytes, version: int
) -> Step:
    decoded = states.decode(value)
    if decoded.is_error():
        return models.Refused(decoded.error), NO_CALL
    state = decoded.ok
    if ticket.number <= state.number:
        return _settled(ticket, state), NO_CALL
    folded = folding.fold(state, ticket, now_ms)
    if folded.is_error():
        return models.Refused(folded.error), NO_CALL
    encoded = states.encode(folded.ok)
    return None, store.Update(const.STATE_OBJECT, encoded, version)


def _settled(
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
