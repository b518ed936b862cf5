"""Define the question and the answer of a look-up, and its tables."""

import array
import typing

from zinnialead_core.components import tickets
from zinnialead_core import ids


class LookUp(typing.NamedTuple):
    """Ask which entries to use for a service, rank and zone or client."""

    service: ids.ServiceId
    rank: ids.RankId | None
    domain: ids.DomainId | None
    client: str | None


class Choice(typing.NamedTuple):
    """Name one entry that may be used, and a prefix for keys used there.

    Work that was sent under a key keeps that key wherever it is sent
    again; work that never left its caller takes another choice's prefix.
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
    """Hold the starts of the blocks of clients, and each one's site.

    ``sites`` are places in ``domains``; place 0 is no domain at all.
    """

    ipv4_starts: 'array.array[int]'
    ipv4_sites: 'array.array[int]'
    ipv6_starts: 'array.array[int]'
    ipv6_sites: 'array.array[int]'
    domains: tuple[ids.DomainId | None, ...]


class OrderRow(typing.NamedTuple):
    """Hold the entries for a service and domain, nearest group first."""

    groups: tuple[tuple[ids.EntryId, ...], ...]


class ChosenKey(typing.NamedTuple):
    """Name what a choice was made for."""

    service: ids.ServiceId
    near: ids.DomainId
    turn: int


class ChosenEntry(typing.NamedTuple):
    """Hold an entry that was chosen, and the registrars of its keys."""

    entry: ids.EntryId
    domain: ids.DomainId
    address: str
    home: ids.EntryRef
    witness: ids.EntryRef | None


class ChosenRow(typing.NamedTuple):
    """Hold a choice of entries, best first."""

    entries: tuple[ChosenEntry, ...]
    made_ms: float


class LookUpTable(typing.NamedTuple):
    """Hold what look-ups go by until the members or the state change.

    ``blocks`` holds the one table in use, and ``sources`` the rows of the
    state that it was built from.
    """

    sources: list[dict[str, tickets.BlockRow]]
    blocks: list[BlockTable]
    orders: dict[tuple[ids.ServiceId, ids.DomainId], OrderRow]
    witnesses: dict[ids.DomainId, OrderRow]
    chosen: dict[ChosenKey, ChosenRow]


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
    """Return the table of an entry that knows no blocks and entries."""
    return LookUpTable([{}], [new_blocks()], {}, {}, {})
