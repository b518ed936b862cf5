"""Define the tables of the members component."""

import enum
import typing

from zinnialead_core import ids


class Health(enum.Enum):
    """Name the health of an entry, as known here."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class MemberRow(typing.NamedTuple):
    """Hold the known state of one entry.

    Incarnation 0 marks an entry that the platform lists but that has not
    been heard from.  ``version`` counts the suspicions that the entry
    refuted in this incarnation.  Peers use ``address``; callers use
    ``callers_address`` where it differs.  ``heard_ms`` is when the entry
    was last heard from, ``state_number`` the state that it has in force.
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
    """Hold an open probe, and the peer that requested it, if any.

    ``indirect`` is set once other peers were asked to probe the target.
    """

    target: ids.EntryId
    indirect: bool
    requester: ids.EntryId | None
    requester_sequence: int


class SyncRow(typing.NamedTuple):
    """Hold the cursor of the table sync: the next page to ask for.

    An empty ``domain`` means all domains.  While ``joining``, a page is
    asked for in every round.
    """

    domain: str
    after: ids.EntryId
    joining: bool


class ProbeTable(typing.NamedTuple):
    """Hold the probe order, the open probes and the rows to gossip.

    ``news_send_counts`` counts how often a changed row was sent, and
    ``urgent_news`` names the rows not yet pushed.  ``listed_leaving`` has
    the incarnation for which the platform's leaving mark was applied.
    ``sequence``, ``round_count``, ``round_due_ms`` and ``sync_cursor``
    are one-item lists, since a row's fields can't be reassigned.
    """

    domain_order: list[ids.EntryId]
    other_domain_order: list[ids.EntryId]
    sequence: list[int]
    round_count: list[int]
    round_due_ms: list[float]
    open: dict[int, ProbeRow]
    news_send_counts: dict[ids.EntryId, int]
    urgent_news: dict[ids.EntryId, None]
    listed_leaving: dict[ids.EntryId, int]
    sync_cursor: list[SyncRow]


def new_probes() -> ProbeTable:
    """Return an empty table."""
    return ProbeTable([], [], [0], [0], [], {}, {}, {}, {}, [])
