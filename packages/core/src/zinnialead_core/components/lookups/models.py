"""Define look-up questions, answers and tables."""

import array
import typing

from zinnialead_core.components import tickets
from zinnialead_core import ids


class LookUp(typing.NamedTuple):
    """Ask which entries to use for a service.

    ``domain`` is the caller's; without it, ``client``, the caller's IP
    address, is mapped to a domain.
    """

    service: ids.ServiceId
    rank: ids.RankId | None
    domain: ids.DomainId | None
    client: str | None


class Choice(typing.NamedTuple):
    """Describe an entry to use, with the prefix for keys issued for it.

    Retries keep the key that the work was first sent under, whichever
    entry they go to; only work that was never sent may switch prefixes.
    """

    entry: ids.EntryId
    domain: ids.DomainId
    address: str
    key_prefix: str


class LookUpAnswer(typing.NamedTuple):
    """List the entries to use, best first."""

    choices: tuple[Choice, ...]
    lifetime_ms: float


class BlockTable(typing.NamedTuple):
    """Hold the starts of address ranges, and each one's domain.

    Indexes are positions in ``domains``; position 0 is None, no domain.
    """

    ipv4_starts: 'array.array[int]'
    ipv4_indexes: 'array.array[int]'
    ipv6_starts: 'array.array[int]'
    ipv6_indexes: 'array.array[int]'
    domains: tuple[ids.DomainId | None, ...]


class OrderRow(typing.NamedTuple):
    """Hold entries grouped by domain, best group first."""

    groups: tuple[tuple[ids.EntryId, ...], ...]


class SelectionKey(typing.NamedTuple):
    """Identify a cached selection.

    ``rotation`` is the offset at which a domain's entries start.
    """

    service: ids.ServiceId
    domain: ids.DomainId
    rotation: int


class SelectedEntry(typing.NamedTuple):
    """Hold a selected entry and the registrars of keys issued for it."""

    entry: ids.EntryId
    domain: ids.DomainId
    address: str
    home: ids.EntryRef
    witness: ids.EntryRef | None


class SelectionRow(typing.NamedTuple):
    """Hold a selection of entries, best first."""

    entries: tuple[SelectedEntry, ...]
    selected_ms: float


class LookUpTable(typing.NamedTuple):
    """Hold what look-ups use, rebuilt when members or the state change.

    ``blocks`` has one item, the table in use; ``block_rows`` has one item,
    the state's rows that it was built from.  ``orders`` and ``witnesses``
    hold ordered entries by service and domain, and by home domain.
    """

    block_rows: list[dict[str, tickets.BlockRow]]
    blocks: list[BlockTable]
    orders: dict[tuple[ids.ServiceId, ids.DomainId], OrderRow]
    witnesses: dict[ids.DomainId, OrderRow]
    selections: dict[SelectionKey, SelectionRow]


def new_blocks() -> BlockTable:
    """Return a table without blocks."""
    return BlockTable(
        array.array('I'),
        array.array('H'),
        array.array('Q'),
        array.array('H'),
        (None,),
    )


def new_table() -> LookUpTable:
    """Return empty tables."""
    return LookUpTable([{}], [new_blocks()], {}, {}, {})
