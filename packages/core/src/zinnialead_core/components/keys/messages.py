"""Define the messages between the holder and the registrars of a key."""

import dataclasses

from zinnialead_core.components.keys import models
from zinnialead_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAsk:
    """Ask a registrar to let ``ask_id`` run the work under a key."""

    key: ids.Key
    ask_id: ids.AskId


@dataclasses.dataclass(frozen=True, slots=True)
class BarKey:
    """Ask a registrar to bar a key that nobody has claimed."""

    key: ids.Key
    ask_id: ids.AskId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answer a ``ClaimAsk`` or a ``BarKey``."""

    key: ids.Key
    ask_id: ids.AskId
    answer: models.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEnd:
    """Report to a registrar how the work ended; None if it did not run."""

    key: ids.Key
    ask_id: ids.AskId
    sequence: int
    state: models.KeyEnd


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEndAck:
    """Confirm that a registrar has recorded an end."""

    key: ids.Key
    ask_id: ids.AskId
    sequence: int
