"""Define what upstreams announce, and the table of their pauses."""

import dataclasses
import typing

from zinnialead_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Leaves:
    """Announce that the upstream's run ends soon."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pauses:
    """Ask for no requests from this entry for a time."""

    pause_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadablePause:
    """Ask for a pause whose length can't be read."""

    text: str


Notice = Leaves | Pauses | UnreadablePause


class PauseTable(typing.NamedTuple):
    """Hold until when upstreams asked for no requests.

    ``component`` names the counters.
    """

    component: str
    until_ms: dict[ids.UpstreamId, float]


def new_pauses(component: str) -> PauseTable:
    """Return a table without pauses."""
    return PauseTable(component, {})
