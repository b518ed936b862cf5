"""Define the messages between the holder and the registrars of a key."""

import dataclasses

from zinnialead_core.components.keys import models
from zinnialead_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAsk:
    """Ask a registrar to let ``ask_id`` run the work under a key."""

    key: ids.Key
    ask_id: ids.AskId
    lifetime_left_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answer a claim or a bar."""

    key: ids.Key
    ask_id: ids.AskId
    answer: models.Granted | models.Denial


@dataclasses.dataclass(frozen=True, slots=True)
class BarKey:
    """Ask a registrar to bar a key that it has never seen."""

    key: ids.Key
    ask_id: ids.AskId
    lifetime_left_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEnd:
    """Tell a registrar how the work ended, None for not run at all."""

    key: ids.Key
    ask_id: ids.AskId
    state: models.Ended | models.Undecided | models.Barred | None
