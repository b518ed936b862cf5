"""Define the outcomes of filing a ticket."""

import dataclasses

from zinnialead_config import problems
from zinnialead_core.components import tickets


@dataclasses.dataclass(frozen=True, slots=True)
class Filed:
    """Report a ticket in force; ``again`` if an earlier call filed it."""

    number: int
    again: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report that no part of the ticket is in force, and why."""

    problems: problems.Problems


@dataclasses.dataclass(frozen=True, slots=True)
class LostRace:
    """Report that another ticket was filed under the same number."""

    winner: tickets.TicketNote


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Report that the store gave no answer: the ticket may be in force."""

    detail: str


Outcome = Filed | Refused | LostRace | Unknown
