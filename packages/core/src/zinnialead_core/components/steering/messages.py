"""Define the messages that exchange loads between slot owners."""

import dataclasses

from zinnialead_core.components.steering import models


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Report the loads of the services whose slots the sender owns."""

    rows: tuple[models.LoadRow, ...]
