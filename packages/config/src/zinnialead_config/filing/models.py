"""Define how the filing of a ticket can end."""

import dataclasses

from zinnialead_config import problems
from zinnialead_core.components import tickets


@dataclasses.dataclass(frozen=True, slots=True)
class Filed:
    """Say that the ticket is in force in the store."""

    number: int
    again: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Say that nothing of the ticket is in force, and why."""

    problems: problems.Problems


@dataclasses.dataclass(frozen=True, slots=True)
class LostRace:
    """Say that another ticket has the number, and whose it is."""

    winner: tickets.TicketNote


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Say that the store gave no answer: the ticket may be in force."""

    detail: str


Outcome = Filed | Refused | LostRace | Unknown
