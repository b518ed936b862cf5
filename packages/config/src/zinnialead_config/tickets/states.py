"""Encode the state in force for the store, and decode it."""

import functools
import typing

import expression
import msgspec
import pydantic

from zinnialead_config import problems
from zinnialead_config.tickets import const
from zinnialead_config.tickets import documents
from zinnialead_config.tickets import folding
from zinnialead_config.tickets import rows
from zinnialead_config import validation
from zinnialead_core.components import tickets
import zinnialead_documents

# Stands in for the file name in problems of a state from the store.
FILE = 'state'
Section = dict[str, typing.Any]


@functools.cache
def _state_adapter() -> 'pydantic.TypeAdapter[documents.StateDocument]':
    return pydantic.TypeAdapter(documents.StateDocument)


def encode(state: tickets.State) -> bytes:
    """Encode the state as JSON, with the sections of a ticket."""
    return msgspec.json.encode(document(state), order='deterministic')


def decode(
    encoded: bytes,
) -> expression.Result[tickets.State, problems.Problems]:
    """Decode and validate a state, or return every invalid field."""
    try:
        raw = zinnialead_documents.decode(encoded)
    except ValueError as error:
        return validation.failure(FILE, validation.ROOT_PATH, str(error))
    return validation.check(raw, FILE, _state_adapter()).bind(_from_document)


def document(state: tickets.State) -> documents.StateDocument:
    """Return the document of a state."""
    places: dict[str, documents.PlaceDocument | None] = {}
    for row in state.upstreams.values():
        place_name = f'{row.service}/{row.domain}'
        item = places.setdefault(place_name, {'upstreams': {}})
        if item is not None:
            item['upstreams'][row.upstream] = {
                'address': row.address,
                'slots': row.slots,
                'connections_max': row.connections_max,
            }
    return {
        'format': const.STATE_FORMAT,
        'number': state.number,
        'services': _section(state.services, 'service'),
        'domains': _section(state.domains, 'domain'),
        'ranks': _section(state.ranks, 'rank'),
        'places': places,
        'drains': {
            name: rows.drain_document(item)
            for name, item in state.drains.items()
        },
        'caps': {
            name: rows.cap_document(item) for name, item in state.caps.items()
        },
        'blocks': _section(state.blocks, 'prefix'),
        'history': [
            typing.cast('documents.NoteDocument', note._asdict())
            for note in state.history
        ],
    }


def _section(
    table: typing.Mapping[typing.Any, typing.NamedTuple], name_field: str
) -> Section:
    return {
        str(name): {
            field: value
            for field, value in row._asdict().items()
            if field != name_field
        }
        for name, row in table.items()
    }


def _from_document(
    checked: documents.StateDocument,
) -> expression.Result[tickets.State, problems.Problems]:
    if checked['format'] != const.STATE_FORMAT:
        reason = f'format {checked["format"]} is unknown'
        return validation.failure(FILE, 'format', reason)
    empty = tickets.empty_state()
    merge = folding.merge_section
    return expression.Ok(
        tickets.State(
            number=checked['number'],
            services=merge(
                empty.services, checked.get('services', {}), rows.service
            ),
            upstreams=rows.upstreams({}, checked.get('places', {})),
            domains=merge(
                empty.domains, checked.get('domains', {}), rows.domain
            ),
            ranks=merge(empty.ranks, checked.get('ranks', {}), rows.rank),
            drains=merge(empty.drains, checked.get('drains', {}), rows.drain),
            caps=merge(empty.caps, checked.get('caps', {}), rows.cap),
            blocks=merge(empty.blocks, checked.get('blocks', {}), rows.block),
            history=tuple(
                tickets.TicketNote(**note) for note in checked['history']
            ),
        )
    )
