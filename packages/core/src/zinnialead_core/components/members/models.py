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

    ``version`` counts how often the entry contradicted a suspicion in
    this incarnation.
    """

    entry: ids.EntryId
    incarnation: int
    domain: ids.DomainId
    address: str
    health: Health
    heard_ms: float
    state_number: int
    version: int = 0


class ProbeTable(typing.NamedTuple):
    """Hold the order in which peers are probed, and the open probes."""

    order: list[ids.EntryId]
    sequence: list[int]
    open_ms: dict[ids.EntryId, float]


def new_probes() -> ProbeTable:
    """Return a table without probes."""
    return ProbeTable([], [0], {})
