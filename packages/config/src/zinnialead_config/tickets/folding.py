"""Apply a ticket to the state in force."""

from collections import abc
import typing

import expression

from zinnialead_config import problems
from zinnialead_config.tickets import checks
from zinnialead_config.tickets import const
from zinnialead_config.tickets import models
from zinnialead_config.tickets import rows
from zinnialead_core.components import tickets

K = typing.TypeVar('K', bound=str)
V = typing.TypeVar('V')
Table = dict[K, V]


def fold(
    state: tickets.State, ticket: models.Ticket, filed_ms: float = 0.0
) -> expression.Result[tickets.State, problems.Problems]:
    """Return the state with the whole ticket applied, or its problems."""
    if ticket.number != state.number + 1:
        reason = (
            f'ticket {ticket.number} can not follow ticket {state.number},'
            ' which is in force'
        )
        return expression.Error(
            (problems.Problem(ticket.file, 'number', reason),)
        )
    folded = _apply(state, ticket, filed_ms)
    inconsistencies = tuple(checks.check(folded, ticket.file))
    if inconsistencies:
        return expression.Error(inconsistencies)
    return expression.Ok(folded)


def _apply(
    state: tickets.State, ticket: models.Ticket, filed_ms: float
) -> tickets.State:
    document = ticket.document
    note = tickets.TicketNote(
        ticket.number, ticket.digest, document['operator'], filed_ms
    )
    history = (*state.history, note)[-const.HISTORY_MAX :]
    return tickets.State(
        number=ticket.number,
        services=merge_section(
            state.services, document.get('services', {}), rows.service
        ),
        upstreams=rows.upstreams(state.upstreams, document.get('places', {})),
        domains=merge_section(
            state.domains, document.get('domains', {}), rows.domain
        ),
        ranks=merge_section(state.ranks, document.get('ranks', {}), rows.rank),
        drains=merge_section(
            state.drains, document.get('drains', {}), rows.drain
        ),
        caps=merge_section(state.caps, document.get('caps', {}), rows.cap),
        blocks=merge_section(
            state.blocks, document.get('blocks', {}), rows.block
        ),
        history=history,
    )


def merge_section(
    current: abc.Mapping[K, V],
    items: abc.Mapping[str, typing.Any],
    make_row: abc.Callable[[str, typing.Any], V],
) -> Table[K, V]:
    """Return a section with a ticket's items added, replaced or removed."""
    result: Table[K, V] = dict(current)
    for name, item in items.items():
        key = typing.cast('K', name)
        if item is None:
            result.pop(key, None)
            continue
        result[key] = make_row(name, item)
    return result
