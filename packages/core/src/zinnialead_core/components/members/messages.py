"""Define the messages of failure detection and gossip."""

import dataclasses

from zinnialead_core.components.members import models
from zinnialead_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Ask a peer whether it is alive; ``news`` has a few changed rows."""

    sequence: int
    state_number: int
    news: tuple[models.MemberRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Answer a probe; ``news`` has a few changed rows."""

    sequence: int
    state_number: int
    news: tuple[models.MemberRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeFor:
    """Ask a peer to probe ``target`` on the sender's behalf."""

    sequence: int
    target: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRelayed:
    """Tell the sender of a ``ProbeFor`` that its target answered."""

    sequence: int
    target: ids.EntryRef


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """Push changed rows that cannot wait for the next probe."""

    news: tuple[models.MemberRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MembersAsk:
    """Ask for members with ids above ``after``, of one domain or all."""

    domain: str
    after: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class MembersPage:
    """Answer a ``MembersAsk``; ``last`` marks the final page."""

    domain: str
    after: ids.EntryId
    last: bool
    news: tuple[models.MemberRow, ...]
