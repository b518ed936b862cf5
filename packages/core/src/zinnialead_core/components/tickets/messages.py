"""Define the messages that spread what is in force."""

import dataclasses

from zinnialead_core.components.tickets import models


@dataclasses.dataclass(frozen=True, slots=True)
class StateNumber:
    """Tell a peer the number of the ticket in force here."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateAsk:
    """Ask a peer for its state, which must be newer than ``number``."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateData:
    """Carry the whole state in force at the sender."""

    state: models.State
