"""Define the messages that show which entries are alive."""

import dataclasses

from zinnialead_core.components.members import models
from zinnialead_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Ask a peer whether it is alive, with news of a few members."""

    sequence: int
    state_number: int
    news: tuple[models.MemberRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Answer a probe, with news of a few members."""

    sequence: int
    state_number: int
    news: tuple[models.MemberRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeFor:
    """Ask a peer to probe ``target`` in the sender's place."""

    sequence: int
    target: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRelayed:
    """Tell the sender of a ``ProbeFor`` that its target answered."""

    sequence: int
    target: ids.EntryRef


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """Tell a peer news that cannot wait for the next probe."""

    news: tuple[models.MemberRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MembersAsk:
    """Ask for the members named after ``after``, of one domain or all."""

    domain: str
    after: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class MembersPage:
    """Answer a ``MembersAsk``; ``last`` says that nothing follows."""

    domain: str
    after: ids.EntryId
    last: bool
    news: tuple[models.MemberRow, ...]
