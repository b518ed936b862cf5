"""Fold a ticket into the state in force."""

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
    """Return the state after a ticket, or why it is refused whole."""
    if ticket.number != state.number + 1:
        reason = (
            f'ticket {ticket.number} can not follow ticket {state.number},'
            ' which is in force'
        )
        return expression.Error(
            (problems.Problem(ticket.file, 'number', reason),)
        )
    folded = _folded(state, ticket, filed_ms)
    found = tuple(checks.check(folded, ticket.file))
    if found:
        return expression.Error(found)
    return expression.Ok(folded)


def _folded(
    state: tickets.State, ticket: models.Ticket, filed_ms: float
) -> tickets.State:
    document = ticket.document
    note = tickets.TicketNote(
        ticket.number, ticket.digest, document['operator'], filed_ms
    )
    history = (*state.history, note)[-const.HISTORY_MAX :]
    return tickets.State(
        number=ticket.number,
        services=merged(
            state.services, document.get('services', {}), rows.service
        ),
        upstreams=rows.upstreams(state.upstreams, document.get('places', {})),
        domains=merged(
            state.domains, document.get('domains', {}), rows.domain
        ),
        ranks=merged(state.ranks, document.get('ranks', {}), rows.rank),
        drains=merged(state.drains, document.get('drains', {}), rows.drain),
        caps=merged(state.caps, document.get('caps', {}), rows.cap),
        blocks=merged(state.blocks, document.get('blocks', {}), rows.block),
        history=history,
    )


def merged(
    known: abc.Mapping[K, V],
    touched: abc.Mapping[str, typing.Any],
    row_of: abc.Callable[[str, typing.Any], V],
) -> Table[K, V]:
    """Return a table with what a ticket touches replaced or removed."""
    result: Table[K, V] = dict(known)
    for name, item in touched.items():
        key = typing.cast('K', name)
        if item is None:
            result.pop(key, None)
            continue
        result[key] = row_of(name, item)
    return result
