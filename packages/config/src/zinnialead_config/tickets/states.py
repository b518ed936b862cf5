"""Encode the state in force for the store, and decode it."""

import functools
import typing

import expression
import msgspec
import pydantic

from zinnialead_config import checked
from zinnialead_config import problems
from zinnialead_config.tickets import const
from zinnialead_config.tickets import documents
from zinnialead_config.tickets import folding
from zinnialead_config.tickets import rows
from zinnialead_core.components import tickets

FILE = 'state'
Documents = dict[str, typing.Any]


@functools.cache
def _adapter() -> 'pydantic.TypeAdapter[documents.StateDocument]':
    return pydantic.TypeAdapter(documents.StateDocument)


def encode(state: tickets.State) -> bytes:
    """Return the state as JSON, in the form of one ticket's sections."""
    return msgspec.json.encode(document(state), order='deterministic')


def decode(
    encoded: bytes,
) -> expression.Result[tickets.State, problems.Problems]:
    """Return the state of JSON bytes, with every field checked."""
    try:
        raw = msgspec.json.decode(encoded)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return checked.failed(FILE, checked.TOP, str(error))
    return checked.check(raw, FILE, _adapter()).bind(_state)


def document(state: tickets.State) -> documents.StateDocument:
    """Return the document of a state."""
    places: dict[str, documents.PlaceDocument | None] = {}
    for row in state.upstreams.values():
        place = f'{row.service}/{row.domain}'
        item = places.setdefault(place, {'upstreams': {}})
        if item is not None:
            item['upstreams'][row.upstream] = {
                'address': row.address,
                'slots': row.slots,
                'connections_max': row.connections_max,
            }
    return {
        'format': const.STATE_FORMAT,
        'number': state.number,
        'services': _documents(state.services, 'service'),
        'domains': _documents(state.domains, 'domain'),
        'ranks': _documents(state.ranks, 'rank'),
        'places': places,
        'drains': {
            name: rows.drain_document(item)
            for name, item in state.drains.items()
        },
        'caps': {
            name: rows.cap_document(item) for name, item in state.caps.items()
        },
        'blocks': _documents(state.blocks, 'prefix'),
        'history': [
            typing.cast('documents.NoteDocument', note._asdict())
            for note in state.history
        ],
    }


def _documents(
    table: typing.Mapping[typing.Any, typing.NamedTuple], key: str
) -> Documents:
    return {
        str(name): {
            field: value
            for field, value in row._asdict().items()
            if field != key
        }
        for name, row in table.items()
    }


def _state(
    found: documents.StateDocument,
) -> expression.Result[tickets.State, problems.Problems]:
    if found['format'] != const.STATE_FORMAT:
        reason = f'format {found["format"]} is unknown'
        return checked.failed(FILE, 'format', reason)
    empty = tickets.empty_state()
    merged = folding.merged
    return expression.Ok(
        tickets.State(
            number=found['number'],
            services=merged(
                empty.services, found.get('services', {}), rows.service
            ),
            upstreams=rows.upstreams({}, found.get('places', {})),
            domains=merged(
                empty.domains, found.get('domains', {}), rows.domain
            ),
            ranks=merged(empty.ranks, found.get('ranks', {}), rows.rank),
            drains=merged(empty.drains, found.get('drains', {}), rows.drain),
            caps=merged(empty.caps, found.get('caps', {}), rows.cap),
            blocks=merged(empty.blocks, found.get('blocks', {}), rows.block),
            history=tuple(
                tickets.TicketNote(**note) for note in found['history']
            ),
        )
    )
