"""Define the messages that spread what is in force."""

import dataclasses

from zinnialead_core.components.tickets import models


@dataclasses.dataclass(frozen=True, slots=True)
class StateNumber:
    """Tell a peer which ticket is in force here."""

    number: int
    digest: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StateAsk:
    """Ask a peer for its state, which must be newer than ``number``.

    ``part`` above 0 asks for one more part of the state ``wanted``.
    """

    number: int
    digest: str = ''
    part: int = 0
    wanted: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StateData:
    """Carry one part of the rows of the state in force at the sender."""

    state: models.State
    part: int = 0
    parts: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class StateDelta:
    """Carry the rows that changed since the state ``base_number``.

    ``removed`` names rows as table and key.
    """

    base_number: int
    base_digest: str
    changed: models.State
    removed: tuple[tuple[str, str], ...]
