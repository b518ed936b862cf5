"""Define the messages that exchange loads."""

import dataclasses

from zinnialead_core.components.steering import models


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Tell a peer the loads of the services owned at the sender."""

    rows: tuple[models.LoadRow, ...]
