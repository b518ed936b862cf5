"""Turn a state into the document that the store and peers carry."""

from collections import abc
import dataclasses
import typing

import msgspec

from zinnialead_core.components import tickets

# Readers refuse another format; fields may be added within one.
FORMAT = 1

ROWS: dict[str, typing.Any] = {
    'services': tickets.ServiceRow,
    'upstreams': tickets.UpstreamRow,
    'domains': tickets.DomainRow,
    'ranks': tickets.RankRow,
    'blocks': tickets.BlockRow,
}
DRAINS: dict[str, typing.Any] = {
    'upstream-drain': tickets.UpstreamDrain,
    'domain-drain': tickets.DomainDrain,
    'region-drain': tickets.RegionDrain,
}
CAPS: dict[str, typing.Any] = {
    'shift-cap': tickets.ShiftCap,
    'region-limit': tickets.RegionLimit,
    'link-budget': tickets.LinkBudget,
}

Row = typing.TypeVar('Row', bound=typing.NamedTuple)
RowDocument = dict[str, typing.Any]
TableDocument = dict[str, RowDocument]
Table = dict[typing.Any, typing.Any]
"""A table of a state, of whatever rows."""


class StateDocument(typing.TypedDict):
    """Hold a state as plain values."""

    format: int
    number: int
    services: TableDocument
    upstreams: TableDocument
    domains: TableDocument
    ranks: TableDocument
    drains: TableDocument
    caps: TableDocument
    blocks: TableDocument
    history: list[RowDocument]


class DocumentError(Exception):
    """Report a document that holds no state of this format."""


def document(state: tickets.State) -> StateDocument:
    """Return the document of a state."""
    return StateDocument(
        format=FORMAT,
        number=state.number,
        services=_rows(state.services),
        upstreams=_rows(state.upstreams),
        domains=_rows(state.domains),
        ranks=_rows(state.ranks),
        drains=_tagged(state.drains, DRAINS),
        caps=_tagged(state.caps, CAPS),
        blocks=_rows(state.blocks),
        history=[note._asdict() for note in state.history],
    )


def state(found: object) -> tickets.State:
    """Return the state of a document, or raise ``DocumentError``."""
    try:
        checked = msgspec.convert(found, StateDocument)
        if checked['format'] != FORMAT:
            raise DocumentError(f'format {checked["format"]} is not known')
        return _state(checked)
    except (msgspec.ValidationError, KeyError) as error:
        raise DocumentError(f'state: {error}') from error


def encode(found: tickets.State) -> bytes:
    """Return a state as the JSON that the store holds.

    >>> decode(encode(tickets.empty_state())) == tickets.empty_state()
    True
    """
    return msgspec.json.encode(document(found))


def decode(content: bytes) -> tickets.State:
    """Return the state in the store's JSON, or raise ``DocumentError``."""
    try:
        return state(msgspec.json.decode(content))
    except msgspec.DecodeError as error:
        raise DocumentError(f'state: {error}') from error


def _state(checked: StateDocument) -> tickets.State:
    plain: dict[str, typing.Any] = {**checked}
    tables: dict[str, typing.Any] = {
        table: _read_rows(row_type, plain[table])
        for table, row_type in ROWS.items()
    }
    notes = (_row(tickets.TicketNote, x) for x in checked['history'])
    return tickets.State(
        number=checked['number'],
        drains=_untagged(checked['drains'], DRAINS),
        caps=_untagged(checked['caps'], CAPS),
        history=tuple(notes),
        **tables,
    )


def _rows(table: abc.Mapping[typing.Any, typing.Any]) -> TableDocument:
    return {str(key): row._asdict() for key, row in table.items()}


def _read_rows(row_type: type[Row], table: TableDocument) -> Table:
    return {key: _row(row_type, row) for key, row in table.items()}


def _row(row_type: type[Row], row: RowDocument) -> Row:
    values = row_type._field_defaults | row
    in_order = [values[name] for name in row_type._fields]
    return msgspec.convert(in_order, row_type)


def _tagged(
    table: abc.Mapping[str, typing.Any],
    kinds: abc.Mapping[str, typing.Any],
) -> TableDocument:
    names = {row_type: kind for kind, row_type in kinds.items()}
    return {
        key: {'kind': names[type(row)], **dataclasses.asdict(row)}
        for key, row in table.items()
    }


def _untagged(
    table: TableDocument, kinds: abc.Mapping[str, typing.Any]
) -> Table:
    return {
        key: msgspec.convert(row, kinds[row['kind']])
        for key, row in table.items()
    }
