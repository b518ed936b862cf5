"""Define the messages that spread the state in force."""

import dataclasses

from zinnialead_core.components.tickets import models


@dataclasses.dataclass(frozen=True, slots=True)
class StateNumber:
    """Announce the number and digest of the sender's state in force."""

    number: int
    digest: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StateAsk:
    """Request the receiver's state if it is newer than ``number``.

    ``part`` above 0 requests that part of the state numbered ``wanted``.
    """

    number: int
    digest: str = ''
    part: int = 0
    wanted: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StateData:
    """Carry one part of the rows of the sender's state in force."""

    state: models.State
    part: int = 0
    parts: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class StateDelta:
    """Carry the rows that changed since the state ``base_number``.

    ``removed`` identifies rows by table and key.
    """

    base_number: int
    base_digest: str
    changed: models.State
    removed: tuple[tuple[str, str], ...]
