"""Define the rows of the members tables."""

import enum
import typing

from zinnialead_core import ids


class Health(enum.Enum):
    """Say what is believed of an entry."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class MemberRow(typing.NamedTuple):
    """Hold what is believed of one entry.

    Peers reach it at ``address``, callers at ``callers_address``.

    Incarnation 0 stands for an entry that is listed and was never heard.
    ``version`` counts how often the entry contradicted a suspicion in
    this incarnation.  ``address`` is for peers, ``callers_address`` for
    callers where it differs.
    """

    entry: ids.EntryId
    incarnation: int
    domain: ids.DomainId
    address: str
    health: Health
    heard_ms: float
    state_number: int
    version: int = 0
    callers_address: str = ''


class ProbeRow(typing.NamedTuple):
    """Hold one open probe; ``origin`` is whom it was sent for, if any."""

    target: ids.EntryId
    indirect: bool
    origin: ids.EntryId | None
    origin_sequence: int


class SyncRow(typing.NamedTuple):
    """Hold which page of the members is asked for next.

    An empty ``domain`` stands for all; ``joining`` asks in each round.
    """

    domain: str
    after: ids.EntryId
    joining: bool


class ProbeTable(typing.NamedTuple):
    """Hold whom to probe next, the open probes, and what news to tell.

    ``news`` counts how often a member's row was told; ``urgent`` names
    those not yet pushed; ``listed_leaving`` is the incarnation for which
    the platform's list was believed.  The lists of one item hold a value
    that changes.
    """

    order: list[ids.EntryId]
    foreign_order: list[ids.EntryId]
    sequence: list[int]
    rounds: list[int]
    round_ms: list[float]
    open: dict[int, ProbeRow]
    news: dict[ids.EntryId, int]
    urgent: dict[ids.EntryId, None]
    listed_leaving: dict[ids.EntryId, int]
    sync: list[SyncRow]


def new_probes() -> ProbeTable:
    """Return a table without probes."""
    return ProbeTable([], [], [0], [0], [], {}, {}, {}, {}, [])
